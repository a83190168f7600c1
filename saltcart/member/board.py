"""A board that all members share: for each topic the newest post, told on like news.

A post is newer by its number, and of two with one number by its author's name, so that all members come to
hold the same.  Who posts takes the number after the newest that it knows.  Posts are no part of the view's
digest: they change all the time, and what one member misses comes with the next post or is told again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from saltcart.member.spread import Tiers

MOST_TOPICS = 256  # a member that makes topics up must not fill the others' memory
MOST_DATA = 900  # bytes of one post: one fits into a packet with the rest


class Post(msgspec.Struct, array_like=True, frozen=True):
    topic: str
    number: int
    by: str
    data: bytes

    @property
    def name(self) -> str:
        return self.topic

    def size(self) -> int:
        """Bytes on the wire, at most."""
        return 20 + len(self.topic) + len(self.by) + len(self.data)


class Board:
    """``changed`` is told of each post that is newer than what was known."""

    def __init__(self) -> None:
        self.posts: dict[str, Post] = {}
        self.heard: dict[str, float] = {}  # when the newest post of each topic came
        self.tiers = Tiers[Post]()
        self.turned = 0
        self.changed: Callable[[Post], None] = lambda post: None

    def take(self, post: Post, now: float) -> bool:
        """Take a post in; False where it is not newer."""
        known = self.posts.get(post.topic)
        if known is not None and (post.number, post.by) <= (known.number, known.by):
            return False
        if known is None and len(self.posts) >= MOST_TOPICS:
            return False
        self.posts[post.topic], self.heard[post.topic] = post, now
        self.tiers.put(post)
        self.changed(post)
        return True

    def turn(self, room: int) -> list[Post]:
        """Some of the posts, others each time: for one who may have missed them."""
        posts, out = list(self.posts.values()), list[Post]()
        for n in range(len(posts)):
            post = posts[(self.turned + n) % len(posts)]
            if post.size() > room:
                break
            room -= post.size()
            out.append(post)
        self.turned += len(out)
        return out

    def write(self, topic: str, by: str, data: bytes, now: float, number: int | None = None) -> Post:
        """A new post of ours; ``ValueError`` where it is too long."""
        if len(data) > MOST_DATA:
            raise ValueError(f"a post of {len(data)} bytes, {MOST_DATA} at most")
        known = self.posts.get(topic)
        following = 1 if known is None else known.number + 1
        post = Post(topic, following if number is None else max(number, following), by, data)
        self.take(post, now)
        return post
