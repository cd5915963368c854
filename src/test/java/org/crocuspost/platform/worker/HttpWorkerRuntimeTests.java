package org.crocuspost.platform.worker;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.platform.http.BlockingHttpClient;
import org.crocuspost.platform.http.HttpLimits;
import org.crocuspost.platform.http.PlatformUrl;
import org.crocuspost.standin.objects.ObjectStandIn;
import org.crocuspost.standin.server.NamedWorker;
import org.crocuspost.standin.server.PlatformServer;
import org.crocuspost.standin.table.TableStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class HttpWorkerRuntimeTests {

	private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	private static final AttemptKey ATTEMPT = new AttemptKey("statement-run/7", 3);

	private static final Resources RESOURCES = new Resources(1500, 4096, 2);

	private static final TaskState STATE = new TaskState(ATTEMPT, "statement-run", TaskState.Phase.RUNNING, RESOURCES,
			"checkpoint-2", "");

	private static final UsageReport USAGE = new UsageReport(ATTEMPT, RESOURCES, Duration.ofMillis(2500));

	private static BlockingHttpClient client;

	@BeforeAll
	static void openClient() {
		client = new BlockingHttpClient(HttpLimits.DEFAULT.withCallTimeout(Duration.ofSeconds(30)));
	}

	@AfterAll
	static void closeClient() {
		client.close();
	}

	static Stream<Operation> operations() {
		TaskStart start = new TaskStart(ATTEMPT, "statement-run", RESOURCES, "checkpoint-1", Duration.ofSeconds(20));
		return Stream.of(new Operation("start " + start, (runtime) -> runtime.start(start), STATE),
				new Operation("renew " + ATTEMPT + " PT30S",
						(runtime) -> runtime.renew(ATTEMPT, Duration.ofSeconds(30)), STATE),
				new Operation("checkpoint " + ATTEMPT, (runtime) -> runtime.checkpoint(ATTEMPT), STATE),
				new Operation("throttle " + ATTEMPT + " 40", (runtime) -> runtime.throttle(ATTEMPT, 40), STATE),
				new Operation("stop " + ATTEMPT, (runtime) -> runtime.stop(ATTEMPT), STATE),
				new Operation("forget " + ATTEMPT, (runtime) -> runtime.forget(ATTEMPT), STATE),
				new Operation("list", WorkerRuntime::list, Vector.of(STATE)),
				new Operation("usage", WorkerRuntime::usage, Vector.of(USAGE)));
	}

	@ParameterizedTest
	@MethodSource("operations")
	void callReachesTheRuntimeOnceAndReturnsItsAnswer(Operation operation) {
		RecordingRuntime runtime = new RecordingRuntime();
		try (PlatformServer server = serve(runtime)) {
			assertThat(operation.call().apply(adapter(server.url()))).isEqualTo(Either.right(operation.answer()));
		}
		assertThat(runtime.calls).containsExactly(operation.description());
	}

	@ParameterizedTest
	@MethodSource("operations")
	void refusalIsReturnedToTheCaller(Operation operation) {
		Failure refusal = ErrorCode.WORKER_FULL.with("w1", ATTEMPT.taskId());
		RecordingRuntime runtime = new RecordingRuntime();
		runtime.failure = refusal;
		try (PlatformServer server = serve(runtime)) {
			assertThat(operation.call().apply(adapter(server.url()))).isEqualTo(Either.left(refusal));
		}
	}

	@ParameterizedTest
	@MethodSource("operations")
	void callWithoutAnswerMayHaveTakenEffect(Operation operation) {
		RecordingRuntime runtime = new RecordingRuntime();
		runtime.failure = ErrorCode.STORE_UNKNOWN.with("the connection was closed");
		PlatformServer server = serve(runtime);
		WorkerRuntime adapter = adapter(server.url());
		assertThat(operation.call().apply(adapter).getLeft().code()).isEqualTo(ErrorCode.WORKER_FAILED);
		server.close();
		assertThat(operation.call().apply(adapter).getLeft().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private static PlatformServer serve(WorkerRuntime runtime) {
		return PlatformServer.start(ANY_PORT, new TableStandIn(), new ObjectStandIn(),
				List.of(new NamedWorker("w0", new RecordingRuntime()), new NamedWorker("w1", runtime)));
	}

	private static WorkerRuntime adapter(PlatformUrl url) {
		return new HttpWorkerRuntime(client, url, "w1");
	}

	private record Operation(String description, Function<WorkerRuntime, Either<Failure, ?>> call, Object answer) {

		@Override
		public String toString() {
			return this.description;
		}

	}

	private static final class RecordingRuntime implements WorkerRuntime {

		private final List<String> calls = new ArrayList<>();

		private Failure failure;

		private <T> Either<Failure, T> record(String call, T answer) {
			this.calls.add(call);
			return (this.failure != null) ? Either.left(this.failure) : Either.right(answer);
		}

		@Override
		public Either<Failure, TaskState> start(TaskStart start) {
			return record("start " + start, STATE);
		}

		@Override
		public Either<Failure, TaskState> renew(AttemptKey attempt, Duration lease) {
			return record("renew " + attempt + " " + lease, STATE);
		}

		@Override
		public Either<Failure, TaskState> checkpoint(AttemptKey attempt) {
			return record("checkpoint " + attempt, STATE);
		}

		@Override
		public Either<Failure, TaskState> throttle(AttemptKey attempt, int percent) {
			return record("throttle " + attempt + " " + percent, STATE);
		}

		@Override
		public Either<Failure, TaskState> stop(AttemptKey attempt) {
			return record("stop " + attempt, STATE);
		}

		@Override
		public Either<Failure, Seq<TaskState>> list() {
			return record("list", Vector.of(STATE));
		}

		@Override
		public Either<Failure, TaskState> forget(AttemptKey attempt) {
			return record("forget " + attempt, STATE);
		}

		@Override
		public Either<Failure, Seq<UsageReport>> usage() {
			return record("usage", Vector.of(USAGE));
		}

	}

}
