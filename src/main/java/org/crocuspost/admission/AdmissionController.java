package org.crocuspost.admission;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.http.HttpResponse;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.AgentStatus;
import org.crocuspost.wire.FateQuery;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.FateReply.Fate;
import org.crocuspost.wire.ForwardReply;
import org.crocuspost.wire.Frame;

/**
 * Performs admission control for one endpoint: receives forwarded requests from entries,
 * limits them to the slots of the endpoint, and answers later queries about the status of
 * each attempt.
 */
public final class AdmissionController implements PeerListener {

	private final AdmissionSettings settings;

	private final String incarnation;

	private final EndpointClient client;

	private final Clock clock;

	private final Timer timer;

	private final SlotQueue slots;

	private final AttemptRecords records;

	private final IdempotencyKeyStore keys;

	private final StatusAnnouncer announcer;

	private final Cancellable heartbeat;

	private volatile long configurationVersion;

	/**
	 * Creates the admission control and starts to announce the endpoint to entries that
	 * connect.
	 * @param settings the settings of the endpoint
	 * @param incarnation the incarnation of this process, as in its peer identity
	 * @param client sends requests to the endpoint
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public AdmissionController(AdmissionSettings settings, String incarnation, EndpointClient client, Clock clock,
			Timer timer) {
		this.settings = settings;
		this.incarnation = incarnation;
		this.client = client;
		this.clock = clock;
		this.timer = timer;
		this.slots = new SlotQueue(settings, clock, timer);
		this.records = new AttemptRecords(settings.limits(), clock);
		this.keys = new IdempotencyKeyStore(settings.limits().recordRetention(), clock);
		this.announcer = new StatusAnnouncer(this::status);
		this.heartbeat = timer.repeat(settings.limits().heartbeat(), this.announcer::announce);
	}

	/**
	 * Applies a configuration.
	 * @param version the version of the configuration
	 * @param accepting whether the endpoint takes new requests, that is, is neither
	 * withdrawn nor in a failure domain taken out of service
	 */
	public void configure(long version, boolean accepting) {
		this.configurationVersion = version;
		this.slots.pause(!accepting);
		this.announcer.announce();
	}

	/**
	 * Drains the endpoint: refuses new requests and announces this to the entries.
	 * Requests that run or wait are still processed.
	 * @return a stage that completes when no request runs or waits
	 */
	public CompletionStage<Void> drain() {
		CompletionStage<Void> drained = this.slots.drain();
		this.announcer.announce();
		return drained;
	}

	/**
	 * Stops the announcements and closes the connections to the endpoint.
	 */
	public void close() {
		this.heartbeat.cancel();
		this.client.close();
	}

	@Override
	public void connected(Peer peer) {
		this.announcer.add(peer);
	}

	@Override
	public void disconnected(Peer peer) {
		this.announcer.remove(peer);
	}

	@Override
	public void received(Peer peer, Frame frame) {
		switch (frame.getBodyCase()) {
			case FORWARD_REQUEST -> forward(new ForwardedAttempt(peer, frame, this.clock.nanoTime()));
			case FATE_QUERY -> answerFateQuery(peer, frame);
			case KEY_CLAIM -> peer.send(answerTo(frame).setKeyClaimReply(this.keys.claim(frame.getKeyClaim())).build());
			default -> {
			}
		}
	}

	private void forward(ForwardedAttempt attempt) {
		if (!attempt.bodyComplete()) {
			attempt.answer(refusal(attempt, ErrorCode.MALFORMED.with("the body is incomplete")));
			return;
		}
		this.records.recordArrival(attempt.id())
			.ifPresentOrElse((fate) -> answerRepeated(attempt, fate), () -> enqueue(attempt));
	}

	private void answerRepeated(ForwardedAttempt attempt, Fate fate) {
		String requestId = attempt.id().requestId();
		boolean cancelled = fate == Fate.FATE_NEVER_RUNS;
		ErrorCode code = cancelled ? ErrorCode.REQUEST_CANCELLED : ErrorCode.DUPLICATE_REQUEST;
		Failure failure = code.with(requestId);
		attempt.answer(refusal(attempt, failure));
	}

	private void enqueue(ForwardedAttempt attempt) {
		this.slots.submit(new SlotRequest(attempt.request().getPriority(), attempt.deadlineNanos(),
				(slot) -> run(attempt, slot), (failure) -> finish(attempt, Either.left(failure))));
	}

	private void run(ForwardedAttempt attempt, Slot slot) {
		Duration remaining = Duration.ofNanos(Math.max(0, attempt.deadlineNanos() - this.clock.nanoTime()));
		Cancellable deadline = this.timer.schedule(remaining,
				() -> attempt.answer(refusal(attempt, ErrorCode.DEADLINE_AFTER_START.with())));
		this.client.exchange(attempt.id().requestId(), attempt.call(), remaining.plus(this.settings.limits().linger()))
			.whenComplete((result, exception) -> {
				deadline.cancel();
				slot.release();
				finish(attempt, (exception != null) ? Either.left(internal(exception)) : result);
			});
	}

	private static Failure internal(Throwable exception) {
		return ErrorCode.INTERNAL.with(exception.getMessage());
	}

	private void finish(ForwardedAttempt attempt, Either<Failure, HttpResponse> result) {
		EndpointLoad load = this.slots.load();
		ForwardReply reply = result.fold((failure) -> ForwardReplies.failed(attempt.request(), failure, load),
				(answer) -> ForwardReplies.answered(attempt.request(), answer, load));
		boolean neverRuns = result.isLeft() && result.getLeft().verdict() == Verdict.NOT_RUN;
		this.records.recordEnd(attempt.id(), neverRuns ? Fate.FATE_NEVER_RUNS : Fate.FATE_FINISHED, reply);
		attempt.answer(reply);
	}

	private ForwardReply refusal(ForwardedAttempt attempt, Failure failure) {
		return ForwardReplies.failed(attempt.request(), failure, this.slots.load());
	}

	private void answerFateQuery(Peer peer, Frame frame) {
		FateQuery query = frame.getFateQuery();
		if (!query.getIncarnation().equals(this.incarnation)) {
			peer.send(fateFrame(frame, FateReply.newBuilder().setFate(Fate.FATE_UNKNOWN).build()));
			return;
		}
		AttemptId id = new AttemptId(query.getRequestId(), query.getAttempt());
		AtomicBoolean answered = new AtomicBoolean();
		FateReply current = this.records.queryFate(id, (ended) -> answerOnce(answered, peer, frame, ended));
		if (current.getFate() != Fate.FATE_RUNNING) {
			answerOnce(answered, peer, frame, current);
			return;
		}
		this.timer.schedule(Duration.ofMillis(query.getWaitMilliseconds()),
				() -> answerOnce(answered, peer, frame, current));
	}

	private static void answerOnce(AtomicBoolean answered, Peer peer, Frame query, FateReply fate) {
		if (answered.compareAndSet(false, true)) {
			peer.send(fateFrame(query, fate));
		}
	}

	private static Frame fateFrame(Frame query, FateReply fate) {
		return answerTo(query).setFateReply(fate).build();
	}

	private static Frame.Builder answerTo(Frame call) {
		return Frame.newBuilder().setCorrelation(call.getCorrelation()).setAnswer(true);
	}

	private AgentStatus status() {
		EndpointLoad load = this.slots.load();
		return AgentStatus.newBuilder()
			.setEndpointId(this.settings.endpointId())
			.setService(this.settings.service())
			.setWorker(this.settings.worker())
			.setRack(this.settings.rack())
			.setSlots(this.settings.slots())
			.setSlotsUsed(load.slotsUsed())
			.setQueued(load.queued())
			.setQueueLimit(this.settings.queueLimit())
			.setAccepting(this.slots.accepting())
			.setServiceMicroseconds((int) (load.serviceTime().toNanos() / 1000))
			.setConfigurationVersion(this.configurationVersion)
			.build();
	}

}
