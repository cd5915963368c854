package org.crocuspost.operations;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.wire.Frame;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RemoteBatchViewsTests {

	private static final BatchViews FIRST = new BatchViews(() -> Either.right(List.of(worker("w-2"))),
			() -> Either.right(List.of(job(""))), () -> Either.right(List.of(task(3))), Explainer.none("task"));

	private static final BatchViews SECOND = new BatchViews(() -> Either.right(List.of(worker("w-1"))),
			() -> Either.right(List.of(job("no-room"))), () -> Either.right(List.of(task(4))),
			(id) -> Either.right(new Explanation(id, "pending", List.of("no-room"))));

	private final SchedulerQueries queries = new SchedulerQueries();

	private final BatchViews views = RemoteBatchViews.of(this.queries);

	@Test
	void answersOfAllSchedulersAreMerged() {
		connect("scheduler-1", FIRST, true);
		connect("scheduler-2", SECOND, true);
		assertThat(this.views.workers().read().get()).containsExactly(worker("w-1"), worker("w-2"));
		assertThat(this.views.jobs().read().get()).containsExactly(job("no-room"));
		assertThat(this.views.tasks().read().get()).containsExactly(task(4));
		assertThat(this.views.taskExplainer().explain("job/0").get().reasons()).containsExactly("no-room");
	}

	@Test
	void answerWithMoreProgressTakesPrecedence() {
		connect("scheduler-1", viewsWith(new JobView("job", "team", 2, 0, 1, 1, 0, ""), "running"), true);
		connect("scheduler-2", viewsWith(new JobView("job", "team", 2, 2, 0, 0, 0, ""), "pending"), true);
		assertThat(this.views.jobs().read().get()).containsExactly(new JobView("job", "team", 2, 0, 1, 1, 0, ""));
		assertThat(this.views.taskExplainer().explain("job/0").get().state()).isEqualTo("running");
	}

	@Test
	void schedulerThatDoesNotAnswerIsLeftOut() {
		connect("scheduler-1", FIRST, false);
		connect("scheduler-2", SECOND, true);
		assertThat(this.views.workers().read().get()).containsExactly(worker("w-1"));
	}

	@Test
	void missingAnswerOfEverySchedulerIsAFailureAndNotAnEmptyView() {
		assertThat(this.views.workers().read().getLeft().code()).isEqualTo(ErrorCode.NOT_FOUND);
		connect("scheduler-1", FIRST, false);
		assertThat(this.views.workers().read().getLeft().code()).isEqualTo(ErrorCode.CONNECTION_LOST);
	}

	private static BatchViews viewsWith(JobView job, String state) {
		return new BatchViews(View.empty(), () -> Either.right(List.of(job)), View.empty(),
				(id) -> Either.right(new Explanation(id, state, List.of())));
	}

	private void connect(String name, BatchViews remote, boolean answering) {
		this.queries.connected(new CallingPeer(name, new ViewQueryListener(remote), answering));
	}

	private static WorkerView worker(String name) {
		return new WorkerView(name, "zone-a", "rack-1", new Resources(1, 2, 3), Resources.NONE, 1, "live");
	}

	private static JobView job(String reason) {
		return new JobView("job", "team", 1, 1, 0, 0, 0, reason);
	}

	private static TaskView task(long attempt) {
		return new TaskView("job/0", "job", "running", attempt, "w-1", "zone-a");
	}

	/**
	 * Connection to a scheduler that answers at once or fails the call with a lost
	 * connection.
	 */
	private static final class CallingPeer implements Peer {

		private final String name;

		private final ViewQueryListener scheduler;

		private final boolean answering;

		private Frame answer = Frame.getDefaultInstance();

		private CallingPeer(String name, ViewQueryListener scheduler, boolean answering) {
			this.name = name;
			this.scheduler = scheduler;
			this.answering = answering;
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity(PeerIdentity.Role.SCHEDULER, this.name, "1", "zone-a");
		}

		@Override
		public void send(Frame frame) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
			if (!this.answering) {
				return CompletableFuture.completedFuture(Either.left(ErrorCode.CONNECTION_LOST.with(this.name)));
			}
			this.scheduler.received(new AnsweringPeer((reply) -> this.answer = reply), frame);
			return CompletableFuture.completedFuture(Either.right(this.answer));
		}

		@Override
		public boolean open() {
			return true;
		}

		@Override
		public void close() {
			throw new UnsupportedOperationException();
		}

	}

	/**
	 * The scheduler's end of the connection.
	 *
	 * @param receiver receives each frame that the scheduler sends
	 */
	private record AnsweringPeer(Consumer<Frame> receiver) implements Peer {

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity(PeerIdentity.Role.ENTRY, "entry-1", "1", "zone-a");
		}

		@Override
		public void send(Frame frame) {
			this.receiver.accept(frame);
		}

		@Override
		public CompletionStage<Either<Failure, Frame>> call(Frame frame, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean open() {
			return true;
		}

		@Override
		public void close() {
			throw new UnsupportedOperationException();
		}

	}

}
