package org.crocuspost.gate;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.http.HttpAnswer;
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
 * The gate before one endpoint. Takes forwarded requests from entries, holds them to the
 * slots of the endpoint, and can say afterwards what became of each.
 */
public final class RequestGate implements PeerListener {

	private final GateSettings settings;

	private final String incarnation;

	private final EndpointClient client;

	private final Clock clock;

	private final Timer timer;

	private final SlotQueue slots;

	private final AttemptRecords records;

	private final KeyKeeper keys;

	private final StatusAnnouncer announcer;

	private final Cancellable heartbeat;

	private volatile long configurationVersion;

	/**
	 * Creates a gate and starts to announce the endpoint to entries that connect.
	 * @param settings the settings
	 * @param incarnation the incarnation of this process, as in its peer identity
	 * @param client sends requests to the endpoint
	 * @param clock the clock of the process
	 * @param timer the timer of the process
	 */
	public RequestGate(GateSettings settings, String incarnation, EndpointClient client, Clock clock, Timer timer) {
		this.settings = settings;
		this.incarnation = incarnation;
		this.client = client;
		this.clock = clock;
		this.timer = timer;
		this.slots = new SlotQueue(settings, clock, timer);
		this.records = new AttemptRecords(settings.limits(), clock);
		this.keys = new KeyKeeper(settings.limits().factRetention(), clock);
		this.announcer = new StatusAnnouncer(this::status);
		this.heartbeat = timer.repeat(settings.limits().heartbeat(), this.announcer::announce);
	}

	/**
	 * Acts on a configuration.
	 * @param version the version of the configuration
	 * @param accepting whether the endpoint takes new work: neither withdrawn nor in a
	 * failure domain that is taken out
	 */
	public void configure(long version, boolean accepting) {
		this.configurationVersion = version;
		this.slots.pause(!accepting);
		this.announcer.announce();
	}

	/**
	 * Refuses new requests from now on and tells the entries. Requests that were admitted
	 * run to their end.
	 * @return done when no request runs or waits
	 */
	public CompletionStage<Void> leave() {
		CompletionStage<Void> drained = this.slots.leave();
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
			case FATE_QUERY -> tellFate(peer, frame);
			case KEY_CLAIM -> peer.send(answerTo(frame).setKeyClaimReply(this.keys.claim(frame.getKeyClaim())).build());
			default -> {
			}
		}
	}

	private void forward(ForwardedAttempt attempt) {
		if (!attempt.whole()) {
			attempt.answer(refusal(attempt, ErrorCode.MALFORMED.with("the body is incomplete")));
			return;
		}
		this.records.arrive(attempt.id())
			.ifPresentOrElse((known) -> answerKnown(attempt, known), () -> submit(attempt));
	}

	private void answerKnown(ForwardedAttempt attempt, Fate known) {
		String requestId = attempt.id().requestId();
		boolean cancelled = known == Fate.FATE_NEVER_RUNS;
		ErrorCode code = cancelled ? ErrorCode.REQUEST_CANCELLED : ErrorCode.DUPLICATE_REQUEST;
		Failure failure = code.with(requestId);
		attempt.answer(refusal(attempt, failure));
	}

	private void submit(ForwardedAttempt attempt) {
		this.slots.submit(new Admission(attempt.request().getPriority(), attempt.deadlineNanos(),
				(slot) -> run(attempt, slot), (failure) -> settle(attempt, Either.left(failure))));
	}

	private void run(ForwardedAttempt attempt, Slot slot) {
		Duration left = Duration.ofNanos(Math.max(0, attempt.deadlineNanos() - this.clock.nanoTime()));
		Cancellable deadline = this.timer.schedule(left,
				() -> attempt.answer(refusal(attempt, ErrorCode.DEADLINE_AFTER_START.with())));
		this.client.exchange(attempt.id().requestId(), attempt.call(), left.plus(this.settings.limits().linger()))
			.whenComplete((result, exception) -> {
				deadline.cancel();
				slot.release();
				settle(attempt, (exception != null) ? Either.left(internal(exception)) : result);
			});
	}

	private static Failure internal(Throwable exception) {
		return ErrorCode.INTERNAL.with(exception.getMessage());
	}

	private void settle(ForwardedAttempt attempt, Either<Failure, HttpAnswer> result) {
		Room room = this.slots.room();
		ForwardReply reply = result.fold((failure) -> ForwardReplies.failed(attempt.request(), failure, room),
				(answer) -> ForwardReplies.answered(attempt.request(), answer, room));
		boolean neverRuns = result.isLeft() && result.getLeft().verdict() == Verdict.NOT_RUN;
		this.records.settle(attempt.id(), neverRuns ? Fate.FATE_NEVER_RUNS : Fate.FATE_FINISHED, reply);
		attempt.answer(reply);
	}

	private ForwardReply refusal(ForwardedAttempt attempt, Failure failure) {
		return ForwardReplies.failed(attempt.request(), failure, this.slots.room());
	}

	private void tellFate(Peer peer, Frame frame) {
		FateQuery query = frame.getFateQuery();
		if (!query.getIncarnation().equals(this.incarnation)) {
			peer.send(fateFrame(frame, FateReply.newBuilder().setFate(Fate.FATE_UNKNOWN).build()));
			return;
		}
		AttemptId id = new AttemptId(query.getRequestId(), query.getAttempt());
		AtomicBoolean told = new AtomicBoolean();
		FateReply now = this.records.ask(id, (later) -> tellOnce(told, peer, frame, later));
		if (now.getFate() != Fate.FATE_RUNNING) {
			tellOnce(told, peer, frame, now);
			return;
		}
		this.timer.schedule(Duration.ofMillis(query.getWaitMilliseconds()), () -> tellOnce(told, peer, frame, now));
	}

	private static void tellOnce(AtomicBoolean told, Peer peer, Frame query, FateReply fate) {
		if (told.compareAndSet(false, true)) {
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
		Room room = this.slots.room();
		return AgentStatus.newBuilder()
			.setEndpointId(this.settings.endpointId())
			.setService(this.settings.service())
			.setWorker(this.settings.worker())
			.setRack(this.settings.rack())
			.setSlots(this.settings.slots())
			.setSlotsUsed(room.slotsUsed())
			.setQueued(room.queued())
			.setQueueLimit(this.settings.queueLimit())
			.setAccepting(this.slots.accepting())
			.setServiceMicroseconds((int) (room.serviceTime().toNanos() / 1000))
			.setConfigurationVersion(this.configurationVersion)
			.build();
	}

}
