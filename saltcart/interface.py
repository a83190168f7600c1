"""Types shared by the decision module and whoever hosts it: settings in, events in, actions out.

Times are seconds, sizes are kilobytes.  A field that may be absent says so with ``None``.
Nothing here decides anything.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple


class Effect(enum.Enum):
    """What running a request twice would do."""

    SAFE = "safe to repeat"
    KEYED = "runs once in its window"
    UNSAFE = "runs at most once, ever"


class Preemption(enum.Enum):
    """What the host can do to work that is running."""

    NONE = "nothing"
    DROP = "stop it, losing what was done"
    PAUSE = "stop it, keeping progress and memory"


class Signal(enum.Enum):
    """What callers make of the free value that is sent back to them."""

    NONE = "unused"
    LEVEL = "nothing ranked below it is sent here"
    CREDIT = "requests outstanding for each caller"
    WEIGHT = "probability that a caller does not pass this server by"


class Below(enum.Enum):
    """What requests call while they run."""

    NONE = "nothing"
    SHARED = "one dependency shared by all servers"
    TIER = "the next tier of servers"


class Outcome(enum.Enum):
    """How a run or a call ended."""

    OK = "succeeded"
    ERROR = "failed; may have had its effect"
    CANCELLED = "stopped, or ended because its answer was given or its caller gone"
    MOOT = "nothing was started"
    REJECTED = "call refused unseen"
    UNREACHABLE = "call never got there"
    TIMEOUT = "call given up; may have had its effect"
    BROKEN = "call broke off; may have had its effect"


class Entry(enum.Enum):
    """What becomes of a connection that brings a request."""

    STOP = "not read"
    GO = "read"
    LAST = "read, for others left room; its requests come after theirs"


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of requests."""

    name: str
    effect: Effect
    aim: float  # an answer within this earns full worth
    deadline: float  # the client's whole patience
    worth: float
    late_worth: float = 0.0  # share of worth earned after the aim
    window: float = 0.0  # keyed: a repeat may come for this long after arrival
    calls_below: bool = False
    skip_worth: float = 0.0  # share of worth earned when a call is left out


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """One tenant and the traffic, over the whole fleet, that is within its share."""

    name: str
    quota: float
    share: float


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of what the site is judged by."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a controller is told when its server starts."""

    classes: tuple[ClassSpec, ...]
    cores: int
    memory_kb: float
    answer_slack: float
    drain_grace: float
    crowd_limit: float  # running requests on the cores, for each core, that a warm server survives
    crowd_span: float  # averaged over this long
    cold_from: float = 1.0  # share of its speed that a cold server starts with
    cold_span: float = 0.0  # warm after this
    cold: bool = False  # only just started
    tenants: tuple[TenantSpec, ...] = ()
    over_quota_worth: float = 1.0
    goal: Goal = Goal()
    preemption: Preemption = Preemption.NONE
    signal: Signal = Signal.NONE
    below: Below = Below.NONE
    call_share: float | None = None  # calls in the shared dependency's hands, as a mean
    call_span: float = 0.0
    call_linger: float = 0.0  # a call given up may stay there this long
    run_factor: float = 1.0  # memory of a running request over a held one
    entry_kb: float = 0.0  # memory of one remembered key
    fresh: float = 0.0  # how long a read's answer may serve others
    heard_for: float = 0.0  # how long callers keep the free value
    max_stay_away: float = 0.0  # longest stay-away time that is passed on; 0 if none is
    idle: float = 0.0  # callers close connections idle for this long
    servers: int = 1
    callers: int = 1
    step: float = 0.001  # shortest time between two batches of events
    tier: int = 0  # 0 for clients' requests; calls from the tier before arrive at the others


# ---- events ---------------------------------------------------------------------------------


class Started(NamedTuple):
    """The server is up; the first event of every controller."""


class Arrived(NamedTuple):
    """A request has been read; one final answer is owed."""

    id: int
    klass: int  # index into ``Settings.classes``
    size_kb: float
    standing: float  # 0 to 1, the least valuable first, each class an equal part
    unread_for: float = 0.0
    patience: float | None = None  # how long its caller will still wait
    tenant: int | None = None
    cost: float | None = None
    subject: str | None = None
    retry: bool = False
    write: bool = False
    caller: int = 0
    repeat_of: int | None = None  # an earlier try, or read, that this one repeats
    kept: bool = False  # its caller was told to come back now: it is not thinned out with its class


class Finished(NamedTuple):
    """A run, or a shared answer, is over."""

    id: int
    outcome: Outcome
    took: float


class Abandoned(NamedTuple):
    """Nobody waits for this request any more."""

    id: int


class AtCall(NamedTuple):
    """A running request has left the cores and waits for leave to call below."""

    id: int


class CallEnded(NamedTuple):
    """A call below is over."""

    id: int
    outcome: Outcome
    took: float


class Leaving(NamedTuple):
    """The server will be stopped after this long."""

    within: float


class Tenants(NamedTuple):
    """The tenants are others from now on."""

    tenants: tuple[TenantSpec, ...]


class Restarted(NamedTuple):
    """The cores were started anew ``age`` seconds ago, cold or not; what ran there is told of as finished."""

    cold: bool
    age: float


class Beside(NamedTuple):
    """What another process of this server, which this one takes over from, still has on the same cores."""

    on_core: int = 0
    calling: int = 0
    memory_kb: float = 0.0


class Woken(NamedTuple):
    """A timer is due; gauges may be absent."""

    token: int
    cpu_busy: float | None = None
    runnable: float | None = None
    mem_used: float | None = None
    sockets: float | None = None


Event = (
    Started
    | Arrived
    | Finished
    | Abandoned
    | AtCall
    | CallEnded
    | Leaving
    | Tenants
    | Beside
    | Restarted
    | Woken
)


# ---- actions --------------------------------------------------------------------------------
# Plain classes, not tuples: a Run and a Fail of the same request must not compare equal.


@dataclass(slots=True)
class Run:
    """Start a held request."""

    id: int


@dataclass(slots=True)
class Stop:
    """Stop running work, as far as preemption allows."""

    id: int


@dataclass(slots=True)
class TurnAway:
    """Final answer: refused, never ran."""

    id: int
    nowhere_else: bool = False
    stay_away: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: an error without assurance."""

    id: int


@dataclass(slots=True)
class Call:
    """Make the call that a request waits for."""

    id: int
    limit: float


@dataclass(slots=True)
class SkipCall:
    """Go on without the call."""

    id: int


@dataclass(slots=True)
class Keep:
    """Enter a request in the table of keys."""

    id: int
    span: float


@dataclass(slots=True)
class Release:
    """Take a request out of the table of keys."""

    id: int


@dataclass(slots=True)
class Share:
    """Answer a held request from the one that it repeats."""

    id: int


@dataclass(slots=True)
class Health:
    """What health checks are told."""

    good: bool
    stored: bool


@dataclass(slots=True)
class Advise:
    """The free value that callers are sent."""

    value: float


@dataclass(slots=True)
class IdleClose:
    """Close connections idle for this long; 0 for the site's own limit."""

    after: float


@dataclass(slots=True)
class Wake:
    """Ask for a timer."""

    at: float
    token: int


@dataclass(slots=True)
class Note:
    """A line for the operators."""

    text: str


Action = (
    Run
    | Stop
    | TurnAway
    | Fail
    | Call
    | SkipCall
    | Keep
    | Release
    | Share
    | Health
    | Advise
    | IdleClose
    | Wake
    | Note
)
