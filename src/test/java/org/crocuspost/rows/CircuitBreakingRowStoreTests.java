package org.crocuspost.rows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.error.Verdict;
import org.crocuspost.store.CircuitBreaker;
import org.crocuspost.store.ProtectionSettings;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * While the store does not answer, writes fail at once and are known not to have run.
 */
class CircuitBreakingRowStoreTests {

	private static final int FAILURES = ProtectionSettings.DEFAULT.failuresToOpen();

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore memory = new MemoryRowStore();

	private final RowStore store = new CircuitBreakingRowStore(this.memory,
			new CircuitBreaker(ProtectionSettings.DEFAULT, this.time, RandomGenerator.of("L64X128MixRandom")));

	private Either<Failure, RowCommit> write() {
		List<Either<Failure, RowCommit>> answers = new ArrayList<>();
		this.store.commit(RowTransaction.of(List.of(), List.of(new RowTransaction.Write("table", "key", "value"))),
				answers::add);
		assertThat(answers).hasSize(1);
		return answers.get(0);
	}

	private void breakStore() {
		this.memory.setFault(MemoryRowStore.Fault.LATE);
		for (int failure = 0; failure < FAILURES; failure++) {
			assertThat(write().getLeft().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		}
	}

	@Test
	void aWriteIsNotSentWhileTheStoreFails() {
		breakStore();
		Failure failure = write().getLeft();
		assertThat(failure.code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.memory.commits()).isEqualTo(FAILURES);
	}

	@Test
	void aWatchThatIsAnsweredLetsWritesThrough() {
		breakStore();
		this.memory.setFault(MemoryRowStore.Fault.NONE);
		assertThat(write().isLeft()).isTrue();
		this.store.changes("table", 0, Duration.ZERO, (answer) -> {
		});
		assertThat(write().isRight()).isTrue();
	}

	@Test
	void lostAnswersBetweenGoodOnesDoNotMatter() {
		for (int call = 0; call < 10 * FAILURES; call++) {
			this.memory.setFault((call % FAILURES == 0) ? MemoryRowStore.Fault.NONE : MemoryRowStore.Fault.ANSWER_LOST);
			write();
		}
		assertThat(this.memory.commits()).isEqualTo(10 * FAILURES);
	}

}
