"""Cooperative threads on virtual time: one runs at a time, and the choices say when it yields."""

import heapq
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from types import TracebackType
from typing import Generic, Self, TypeVar

from greenlet import GreenletExit, getcurrent, greenlet

from chicorycrank_standin.interleavings.choices import Choice, DrawnChoices, GivenChoices

START = datetime(2026, 1, 1, tzinfo=UTC)
START_S = 1000.0
MAX_POINTS = 2_000_000  # of one schedule

Item = TypeVar("Item")
Strike = Callable[["Thread", Choice], None]


class Process:
    """Process of the deployment, with its threads.

    :ivar paused_until: virtual time until which none of its threads runs
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_dead = False
        self.paused_until = 0.0
        self.threads: list[Thread] = []
        self.counts_by_name: dict[str, int] = {}


class Thread:
    """Cooperative thread.

    :ivar count: points passed
    """

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self.process = process
        self.count = 0
        self.wait_number = 0
        self.is_waiting = False
        self.was_woken = False
        self.greenlet: greenlet


class EndlessScheduleError(Exception):
    """A schedule does not end."""


class Scheduler:
    """Runs the threads of all processes; a seed's or a given list of choices decides the order.

    :param strike: called in the thread that a choice strikes
    """

    def __init__(self, choices: DrawnChoices | GivenChoices, strike: Strike) -> None:
        self.now_s = START_S
        self.points = 0
        self.faults_end_at = float("inf")
        # The steps are kept only if these are lists.
        self.trace: list[str] | None = None
        self.steps: list[tuple[float, str, str]] | None = None
        self.processes: list[Process] = []
        self._choices = choices
        self._strike = strike
        self._hub = getcurrent()
        self._current: Thread | None = None
        self._ready: deque[Thread] = deque()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_count = 0

    @property
    def current(self) -> Thread:
        """The thread that runs."""
        assert self._current is not None
        return self._current

    def note(self, text: str) -> None:
        """Record a step for the table of steps."""
        if self.steps is not None:
            name = self._current.name if self._current is not None else "-"
            self.steps.append((self.now_s - START_S, name, text))

    def spawn(self, process: Process, name: str, work: Callable[[], None]) -> None:
        """Start a thread of a process."""
        number = process.counts_by_name[name] = process.counts_by_name.get(name, 0) + 1
        thread = Thread(f"{process.name}/{name}.{number}", process)
        thread.greenlet = greenlet(work, parent=self._hub)
        process.threads.append(thread)
        self._ready.append(thread)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Call a function, which must not block, at a virtual time."""
        self._timer_count += 1
        heapq.heappush(self._timers, (time_s, self._timer_count, action))

    def run(self, ends_at: float, is_done: Callable[[], bool]) -> None:
        """Run until a virtual time, or until a condition holds at some step of time.

        :raises EndlessScheduleError: too many points were passed
        """
        while not is_done():
            while self._ready:
                self._resume(self._ready.popleft())
            if not self._timers or self._timers[0][0] > ends_at:
                self.now_s = max(self.now_s, ends_at)
                return
            time_s, _, action = heapq.heappop(self._timers)
            self.now_s = max(self.now_s, time_s)
            action()

    def _resume(self, thread: Thread) -> None:
        process = thread.process
        if process.is_dead:
            return
        if process.paused_until > self.now_s:
            self.at(process.paused_until, lambda: self._ready.append(thread))
            return
        self._current = thread
        thread.greenlet.switch()
        self._current = None
        if thread.greenlet.dead:
            process.threads.remove(thread)

    def point(self, operation: str, *, is_call: bool = False) -> None:
        """Pass a point at which the running thread may be struck."""
        thread = self._current
        if thread is None:
            return
        if thread.process.is_dead:
            raise GreenletExit
        thread.count += 1
        self.points += 1
        if self.trace is not None:
            self.trace.append(f"{self.now_s:.3f} {thread.name} {thread.count} {operation}")
        if self.points > MAX_POINTS:
            raise EndlessScheduleError
        if self.now_s >= self.faults_end_at:
            return
        choice = self._choices.find(thread.name, thread.count, is_call=is_call)
        if choice is not None:
            self._strike(thread, choice)

    def wait(self, timeout_s: float | None) -> bool:
        """Block the running thread until :meth:`wake`; return false after the timeout."""
        thread = self.current
        if thread.process.is_dead:
            raise GreenletExit
        thread.wait_number += 1
        number = thread.wait_number
        thread.is_waiting, thread.was_woken = True, False
        if timeout_s is not None:

            def end_wait() -> None:
                if thread.is_waiting and thread.wait_number == number:
                    thread.is_waiting = False
                    self._ready.append(thread)

            self.at(self.now_s + max(0.0, timeout_s), end_wait)
        self._hub.switch()
        if thread.process.is_dead:
            raise GreenletExit
        return thread.was_woken

    def sleep(self, delay_s: float) -> None:
        """Block the running thread for some time."""
        self.wait(delay_s)

    def wake(self, thread: Thread) -> None:
        """Let a thread that waits go on."""
        if thread.is_waiting:
            thread.is_waiting, thread.was_woken = False, True
            self._ready.append(thread)

    def kill(self, process: Process) -> None:
        """End a process; its threads run no further."""
        process.is_dead = True
        running = self._current
        for thread in process.threads:
            if thread is not running and thread.greenlet:
                self._current = thread
                thread.greenlet.parent = getcurrent()  # to which it returns when it has ended
                thread.greenlet.throw(GreenletExit)
        self._current = running
        if running is not None and running.process is process:
            raise GreenletExit


class CooperativeLock:
    """Reentrant lock of cooperative threads."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._owner: Thread | None = None
        self._depth = 0
        self._waiting: deque[Thread] = deque()

    def acquire(self) -> bool:
        """Wait for the lock and take it."""
        self._scheduler.point("lock")
        self._take()
        return True

    def _take(self) -> None:
        scheduler = self._scheduler
        thread = scheduler._current
        if thread is not None and self._owner is thread:
            self._depth += 1
            return
        while self._owner is not None and not self._owner.process.is_dead:
            self._waiting.append(scheduler.current)
            scheduler.wait(None)
        self._owner, self._depth = thread, 1

    def release(self) -> None:
        """Release the lock."""
        self._depth -= 1
        if not self._depth:
            self._owner = None
            if self._waiting:
                self._scheduler.wake(self._waiting.popleft())

    def __enter__(self) -> Self:
        self.acquire()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()


class CooperativeCondition(CooperativeLock):
    """Condition variable of cooperative threads."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler)
        self._notified: list[Thread] = []

    def wait(self, timeout: float | None = None) -> bool:
        """Wait for a notification; return false after the timeout in seconds."""
        scheduler = self._scheduler
        scheduler.point("condition")
        thread, depth = scheduler.current, self._depth
        self._notified.append(thread)
        self._depth = 1
        self.release()
        try:
            return scheduler.wait(timeout)
        finally:
            if thread in self._notified:
                self._notified.remove(thread)
            if not thread.process.is_dead:
                self._take()
            self._depth = depth

    def notify_all(self) -> None:
        """Wake all that wait."""
        threads, self._notified = self._notified, []
        for thread in threads:
            self._scheduler.wake(thread)


class CooperativeEvent:
    """Event of cooperative threads."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._is_set = False
        self._waiting: list[Thread] = []

    def is_set(self) -> bool:
        """Return whether it is set."""
        return self._is_set

    def set(self) -> None:
        """Set it and wake all that wait."""
        self._is_set = True
        threads, self._waiting = self._waiting, []
        for thread in threads:
            self._scheduler.wake(thread)

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until it is set; return false after the timeout in seconds."""
        self._scheduler.point("event")
        if not self._is_set:
            thread = self._scheduler.current
            self._waiting.append(thread)
            self._scheduler.wait(timeout)
            if thread in self._waiting:
                self._waiting.remove(thread)
        return self._is_set


class CooperativeQueue(Generic[Item]):
    """Queue of cooperative threads."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._items: deque[Item] = deque()
        self._waiting: deque[Thread] = deque()

    def put(self, item: Item) -> None:
        """Append an item."""
        self._items.append(item)
        if self._waiting:
            self._scheduler.wake(self._waiting.popleft())

    def get(self) -> Item:
        """Wait for an item and remove it."""
        while not self._items:
            self._waiting.append(self._scheduler.current)
            self._scheduler.wait(None)
        return self._items.popleft()

    def empty(self) -> bool:
        """Return whether there is no item."""
        return not self._items


class CooperativePool:
    """Pool that runs each function in its own cooperative thread."""

    def __init__(self, threads: "CooperativeThreads", name: str) -> None:
        self._threads = threads
        self._name = name

    def submit(self, work: Callable[..., None], /, *arguments: object) -> None:
        """Run a function with these arguments."""
        self._threads.start_thread(lambda: work(*arguments), self._name)


class CooperativeThreads:
    """Provider of cooperative threads and what they wait for.

    :ivar process: process to which the threads belong that the hub starts
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._token_count = 0
        self.process: Process | None = None

    def make_lock(self) -> CooperativeLock:
        """Return a free lock."""
        return CooperativeLock(self._scheduler)

    def make_condition(self) -> CooperativeCondition:
        """Return a condition with a free lock."""
        return CooperativeCondition(self._scheduler)

    def make_event(self) -> CooperativeEvent:
        """Return an event that is not set."""
        return CooperativeEvent(self._scheduler)

    def make_queue(self) -> CooperativeQueue[Item]:
        """Return an empty queue."""
        return CooperativeQueue(self._scheduler)

    def make_pool(self, size: int, name: str) -> CooperativePool:
        """Return a pool; the number of its threads is not bounded."""
        return CooperativePool(self, name)

    def start_thread(self, work: Callable[[], None], name: str) -> None:
        """Start a thread of the process that runs or is being started."""
        running = self._scheduler._current
        process = running.process if running is not None else self.process
        assert process is not None
        self._scheduler.spawn(process, name, work)

    def make_token(self, length: int) -> str:
        """Return the next of the texts of this many bytes in hexadecimal digits."""
        self._token_count += 1
        return f"{self._token_count:0{2 * length}x}"


class VirtualClock:
    """Clock of the virtual time."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def now(self) -> datetime:
        """Return the virtual time in UTC."""
        self._scheduler.point("clock")
        return START + timedelta(seconds=self._scheduler.now_s)

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        self._scheduler.point("clock")
        return self._scheduler.now_s

    async def sleep(self, delay: timedelta) -> None:
        """Fail, as no thread of the search awaits."""
        raise NotImplementedError
