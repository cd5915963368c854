package org.crocuspost.admission;

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
 * Assigns the slots of an endpoint; no other component assigns them. Requests that find
 * no free slot wait in a bounded queue, ordered by priority and then by arrival.
 * <p>
 * A request is refused immediately if it is not expected to finish before its deadline.
 * For example, with 8 slots, a service time of 10 ms and 16 requests ahead, a new request
 * waits about 20 ms and finishes after 30 ms. If its deadline is in 25 ms, it is refused
 * on arrival rather than after its caller has given up. A queue that only limits its
 * length would run the request although nobody waits for the answer, and at twice the
 * sustainable load the endpoint would spend most of its time on such requests.
 */
final class SlotQueue {

	private final int slots;

	private final int queueLimit;

	private final String endpointId;

	private final String service;

	private final Clock clock;

	private final Timer timer;

	private final TreeSet<QueuedRequest> queue = new TreeSet<>(
			Comparator.comparingInt(QueuedRequest::priority).thenComparingLong(QueuedRequest::arrival));

	private final ServiceTimeEstimate serviceTime = new ServiceTimeEstimate();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private int usedSlots;

	private long arrivals;

	private boolean draining;

	private boolean paused;

	SlotQueue(AdmissionSettings settings, Clock clock, Timer timer) {
		this.slots = settings.slots();
		this.queueLimit = settings.queueLimit();
		this.endpointId = settings.endpointId();
		this.service = settings.service();
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Admits or refuses a request. An admitted request gets a slot or waits in the queue.
	 * The actions of the request may be called before this method returns.
	 * @param request the request
	 */
	void submit(SlotRequest request) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			admitOrRefuse(request, actions);
		}
		actions.forEach(Runnable::run);
	}

	private void admitOrRefuse(SlotRequest request, List<Runnable> actions) {
		long now = this.clock.nanoTime();
		if (this.draining || this.paused) {
			refuse(request, ErrorCode.ENDPOINT_LEAVING.with(this.endpointId), actions);
		}
		else if (request.deadlineNanos() - now <= 0) {
			refuse(request, ErrorCode.DEADLINE_BEFORE_START.with(), actions);
		}
		else if (this.usedSlots < this.slots && this.queue.isEmpty()) {
			start(request, actions);
		}
		else if (!canFinish(request, now)) {
			refuse(request, ErrorCode.OVERLOADED.with(this.service), actions);
		}
		else {
			enqueue(request, actions);
		}
	}

	private boolean canFinish(SlotRequest request, long now) {
		long ahead = this.queue.stream().filter((queued) -> queued.priority() <= request.priority()).count();
		long service = this.serviceTime.nanos(now);
		long wait = (ahead + 1) * service / this.slots;
		return wait + service <= request.deadlineNanos() - now;
	}

	private void enqueue(SlotRequest request, List<Runnable> actions) {
		if (this.queue.size() >= this.queueLimit && !displaceLowerPriority(request, actions)) {
			refuse(request, ErrorCode.OVERLOADED.with(this.service), actions);
			return;
		}
		QueuedRequest queued = new QueuedRequest(request, this.arrivals++);
		this.queue.add(queued);
		Duration remaining = Duration.ofNanos(request.deadlineNanos() - this.clock.nanoTime());
		this.timer.schedule(remaining, () -> expire(queued));
	}

	private boolean displaceLowerPriority(SlotRequest request, List<Runnable> actions) {
		if (this.queue.isEmpty() || this.queue.last().priority() <= request.priority()) {
			return false;
		}
		QueuedRequest displaced = this.queue.pollLast();
		refuse(displaced.request(), ErrorCode.OVERLOADED.with(this.service), actions);
		return true;
	}

	private void expire(QueuedRequest queued) {
		boolean removed;
		synchronized (this) {
			removed = this.queue.remove(queued);
		}
		if (removed) {
			queued.request().refuse().accept(ErrorCode.DEADLINE_BEFORE_START.with());
		}
	}

	private static void refuse(SlotRequest request, Failure failure, List<Runnable> actions) {
		actions.add(() -> request.refuse().accept(failure));
	}

	private void start(SlotRequest request, List<Runnable> actions) {
		this.usedSlots++;
		long token = this.serviceTime.started(this.clock.nanoTime());
		AtomicBoolean released = new AtomicBoolean();
		Slot slot = () -> {
			if (released.compareAndSet(false, true)) {
				release(token);
			}
		};
		actions.add(() -> request.start().accept(slot));
	}

	private void release(long token) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this) {
			this.usedSlots--;
			this.serviceTime.finished(token, this.clock.nanoTime());
			startQueued(actions);
			completeDrain();
		}
		actions.forEach(Runnable::run);
	}

	private void startQueued(List<Runnable> actions) {
		long now = this.clock.nanoTime();
		while (this.usedSlots < this.slots && !this.queue.isEmpty()) {
			SlotRequest next = this.queue.pollFirst().request();
			if (next.deadlineNanos() - now < this.serviceTime.nanos(now)) {
				refuse(next, ErrorCode.OVERLOADED.with(this.service), actions);
			}
			else {
				start(next, actions);
			}
		}
	}

	private void completeDrain() {
		if (this.draining && this.usedSlots == 0 && this.queue.isEmpty()) {
			this.drained.complete(null);
		}
	}

	/**
	 * Pauses or resumes the admission of requests. While admission is paused, new
	 * requests are refused; requests that run or wait are still processed.
	 * @param paused whether new requests are refused
	 */
	synchronized void pause(boolean paused) {
		this.paused = paused;
	}

	/**
	 * Refuses new requests from now on. Requests that run or wait are still processed.
	 * @return a stage that completes when no request runs or waits
	 */
	synchronized CompletionStage<Void> drain() {
		this.draining = true;
		completeDrain();
		return this.drained;
	}

	synchronized boolean accepting() {
		return !this.draining && !this.paused;
	}

	synchronized EndpointLoad load() {
		long now = this.clock.nanoTime();
		long service = this.serviceTime.nanos(now);
		long wait = (this.usedSlots < this.slots) ? 0 : (this.queue.size() + 1) * service / this.slots;
		return new EndpointLoad(this.usedSlots, this.queue.size(), Duration.ofNanos(service), Duration.ofNanos(wait));
	}

	private record QueuedRequest(SlotRequest request, long arrival) {

		private int priority() {
			return this.request.priority();
		}

	}

}
