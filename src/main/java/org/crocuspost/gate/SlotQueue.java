package org.crocuspost.gate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Hands out the slots of an endpoint, the only authority on them. Requests that find no
 * free slot wait in a bounded queue, by priority and then by arrival.
 * <p>
 * A request is refused at once if it cannot be expected to finish before its deadline:
 * with 8 slots, 10 ms for a request and 16 requests ahead, a new request waits about 20
 * ms and is done after 30 ms; with 25 ms left it is refused now rather than after its
 * caller has given up. A queue that only checks its length would run it for nobody, and
 * at twice the load the endpoint would spend most of its time on such requests.
 */
final class SlotQueue {

	private final int slots;

	private final int limit;

	private final String endpointId;

	private final String service;

	private final Clock clock;

	private final Timer timer;

	private final TreeSet<Waiting> queue = new TreeSet<>(
			Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::arrival));

	private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private int used;

	private long arrivals;

	private boolean leaving;

	private boolean paused;

	SlotQueue(AdmissionSettings settings, Clock clock, Timer timer) {
		this.slots = settings.slots();
		this.limit = settings.queueLimit();
		this.endpointId = settings.endpointId();
		this.service = settings.service();
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Admits or refuses a request. The actions of the admission may be called before this
	 * method returns.
	 * @param admission the request
	 */
	void submit(Admission admission) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			decide(admission, actions);
		}
		actions.forEach(Runnable::run);
	}

	private void decide(Admission admission, List<Runnable> actions) {
		long now = this.clock.nanoTime();
		if (this.leaving || this.paused) {
			refuse(admission, ErrorCode.ENDPOINT_LEAVING.with(this.endpointId), actions);
		}
		else if (admission.deadlineNanos() - now <= 0) {
			refuse(admission, ErrorCode.DEADLINE_BEFORE_START.with(), actions);
		}
		else if (this.used < this.slots && this.queue.isEmpty()) {
			start(admission, actions);
		}
		else if (!canFinish(admission, now)) {
			refuse(admission, ErrorCode.OVERLOADED.with(this.service), actions);
		}
		else {
			enqueue(admission, actions);
		}
	}

	private boolean canFinish(Admission admission, long now) {
		long ahead = this.queue.stream().filter((waiting) -> waiting.priority() <= admission.priority()).count();
		long service = this.serviceTime.nanos(now);
		long wait = (ahead + 1) * service / this.slots;
		return wait + service <= admission.deadlineNanos() - now;
	}

	private void enqueue(Admission admission, List<Runnable> actions) {
		if (this.queue.size() >= this.limit && !displaceLessUrgent(admission, actions)) {
			refuse(admission, ErrorCode.OVERLOADED.with(this.service), actions);
			return;
		}
		Waiting waiting = new Waiting(admission, this.arrivals++);
		this.queue.add(waiting);
		Duration left = Duration.ofNanos(admission.deadlineNanos() - this.clock.nanoTime());
		this.timer.schedule(left, () -> expire(waiting));
	}

	private boolean displaceLessUrgent(Admission admission, List<Runnable> actions) {
		if (this.queue.isEmpty() || this.queue.last().priority() <= admission.priority()) {
			return false;
		}
		Waiting displaced = this.queue.pollLast();
		refuse(displaced.admission(), ErrorCode.OVERLOADED.with(this.service), actions);
		return true;
	}

	private void expire(Waiting waiting) {
		boolean removed;
		synchronized (this) {
			removed = this.queue.remove(waiting);
		}
		if (removed) {
			waiting.admission().refuse().accept(ErrorCode.DEADLINE_BEFORE_START.with());
		}
	}

	private static void refuse(Admission admission, Failure failure, List<Runnable> actions) {
		actions.add(() -> admission.refuse().accept(failure));
	}

	private void start(Admission admission, List<Runnable> actions) {
		this.used++;
		long token = this.serviceTime.started(this.clock.nanoTime());
		AtomicBoolean released = new AtomicBoolean();
		Slot slot = () -> {
			if (released.compareAndSet(false, true)) {
				release(token);
			}
		};
		actions.add(() -> admission.start().accept(slot));
	}

	private void release(long token) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			this.used--;
			this.serviceTime.finished(token, this.clock.nanoTime());
			startWaiting(actions);
			completeDrain();
		}
		actions.forEach(Runnable::run);
	}

	private void startWaiting(List<Runnable> actions) {
		long now = this.clock.nanoTime();
		while (this.used < this.slots && !this.queue.isEmpty()) {
			Admission next = this.queue.pollFirst().admission();
			if (next.deadlineNanos() - now < this.serviceTime.nanos(now)) {
				refuse(next, ErrorCode.OVERLOADED.with(this.service), actions);
			}
			else {
				start(next, actions);
			}
		}
	}

	private void completeDrain() {
		if (this.leaving && this.used == 0 && this.queue.isEmpty()) {
			this.drained.complete(null);
		}
	}

	/**
	 * Refuses new requests for as long as the endpoint is paused; requests that were
	 * admitted run to their end.
	 * @param value whether new requests are refused
	 */
	synchronized void pause(boolean value) {
		this.paused = value;
	}

	/**
	 * Refuses new requests from now on.
	 * @return done when no request runs or waits
	 */
	synchronized CompletionStage<Void> leave() {
		this.leaving = true;
		completeDrain();
		return this.drained;
	}

	synchronized boolean accepting() {
		return !this.leaving && !this.paused;
	}

	synchronized Room room() {
		long now = this.clock.nanoTime();
		long service = this.serviceTime.nanos(now);
		long wait = (this.used < this.slots) ? 0 : (this.queue.size() + 1) * service / this.slots;
		return new Room(this.used, this.queue.size(), Duration.ofNanos(service), Duration.ofNanos(wait));
	}

	private record Waiting(Admission admission, long arrival) {

		private int priority() {
			return this.admission.priority();
		}

	}

}
