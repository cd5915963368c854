package org.crocuspost.store;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.WriteFault;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class CommitResolverTests {

	private static final Backoff BACKOFF = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2));

	private static final Transaction CLAIM = Transaction.empty()
		.require("head", Row.ABSENT)
		.put("head", "version 1")
		.put("note/a", "by a");

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final TableStandIn table = new TableStandIn();

	private final CommitResolver resolver = new CommitResolver(this.table, this.time, BACKOFF, new Random(1));

	@Property(tries = 500, seed = "20261203")
	void reportedOutcomeMatchesTheStore(@ForAll("faults") List<WriteFault> faults, @ForAll boolean competingWrite,
			@ForAll boolean staleReads) {
		VirtualTime clock = new VirtualTime(Instant.EPOCH);
		TableStandIn store = new TableStandIn();
		store.faults().staleReads(staleReads);
		store.read("head");
		store.faults().nextWrites(faults.toArray(WriteFault[]::new));
		CompletableFuture<Either<Failure, CommitResult>> outcome = new CommitResolver(store, clock, BACKOFF,
				new Random(1))
			.commit(CLAIM, "note/a", 10)
			.toCompletableFuture();
		clock.advance(Duration.ofMillis(10));
		if (competingWrite) {
			store.commit(Transaction.empty().require("head", Row.ABSENT).put("head", "rival").put("note/b", "by b"));
		}
		clock.advance(Duration.ofMinutes(1));
		store.faults().clear();
		store.applyHeld();
		boolean written = store.read("note/a").get().exists();
		assertThat(outcome.join().get() instanceof CommitResult.Committed).isEqualTo(written);
		assertThat(store.read("note/a").get().exists()).isNotEqualTo(store.read("note/b").get().exists());
	}

	@Provide
	Arbitrary<List<WriteFault>> faults() {
		return Arbitraries.of(WriteFault.class).list().ofMaxSize(6);
	}

	@Test
	void laterWriteByAnotherWriterDoesNotHideTheCommit() {
		this.table.faults().nextWrites(WriteFault.LOST_AFTER_WRITE);
		CompletableFuture<Either<Failure, CommitResult>> outcome = commit(10);
		this.table.commit(Transaction.empty().put("head", "version 2"));
		this.time.advance(Duration.ofSeconds(1));
		assertThat(outcome.join().get())
			.isEqualTo(new CommitResult.Committed(io.vavr.collection.Vector.of(this.table.read("note/a").get())));
	}

	@Test
	void commitBeforeAnOutageIsDetectedAfterTheOutage() {
		this.table.faults().nextWrites(WriteFault.LOST_AFTER_WRITE);
		CompletableFuture<Either<Failure, CommitResult>> outcome = commit(1000);
		this.table.faults().down(true);
		this.time.advance(Duration.ofMinutes(10));
		assertThat(outcome).isNotDone();
		this.table.faults().down(false);
		this.time.advance(BACKOFF.maximum());
		assertThat(outcome.join().get()).isInstanceOf(CommitResult.Committed.class);
	}

	@Test
	void outcomeStaysUnknownWhenAttemptsAreExhausted() {
		this.table.faults().nextWrites(WriteFault.LOST_BEFORE_WRITE);
		CompletableFuture<Either<Failure, CommitResult>> outcome = commit(3);
		this.table.faults().down(true);
		this.time.advance(Duration.ofMinutes(1));
		assertThat(outcome.join().getLeft().code()).isEqualTo(ErrorCode.STORE_UNKNOWN);
	}

	@Test
	void commitDuringAnOutageIsReportedAsUnavailable() {
		this.table.faults().down(true);
		CompletableFuture<Either<Failure, CommitResult>> outcome = commit(3);
		this.time.advance(Duration.ofMinutes(1));
		assertThat(outcome.join().getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(this.table.counts().writes()).isEqualTo(3);
	}

	@Test
	void transactionThatCouldTakeEffectTwiceIsRejected() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> this.resolver.commit(Transaction.empty().require("other", 1).put("a", "1"), "a", 3));
	}

	private CompletableFuture<Either<Failure, CommitResult>> commit(int maxAttempts) {
		return this.resolver.commit(CLAIM, "note/a", maxAttempts).toCompletableFuture();
	}

}
