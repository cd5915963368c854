package org.crocuspost.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.table.CommitResult;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.platform.table.Transaction;
import org.crocuspost.standin.table.TableStandIn;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreProtectionTests {

	private static final Duration OUTAGE = Duration.ofMinutes(10);

	private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

	private static final int PROCESSES = 40;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final TableStandIn table = new TableStandIn();

	@Test
	void unavailableStoreReceivesFewProbesAndEveryProcessRecoversSoonAfterwards() {
		List<TableService> processes = new ArrayList<>();
		for (int process = 0; process < PROCESSES; process++) {
			TableService service = protectedTable(process);
			processes.add(service);
			this.time.schedule(Duration.ofMillis(25L * process),
					() -> this.time.repeat(POLL_INTERVAL, () -> service.read("a")));
		}
		this.table.faults().down(true);
		this.time.advance(OUTAGE);
		long unprotectedReads = PROCESSES * OUTAGE.toSeconds();
		assertThat(this.table.counts().reads()).isBetween(PROCESSES * 100L, unprotectedReads / 3);
		long readsBeforeRecovery = this.table.counts().reads();
		this.table.faults().down(false);
		this.time.advance(ProtectionSettings.DEFAULT.backoff().maximum().plus(POLL_INTERVAL));
		assertThat(processes).allSatisfy((service) -> assertThat(service.read("a").isRight()).isTrue());
		assertThat(this.table.counts().reads() - readsBeforeRecovery).isLessThanOrEqualTo(PROCESSES * 8L);
	}

	@Test
	void conflictDoesNotCountAsFailure() {
		TableService service = protectedTable(1);
		for (int call = 0; call < 10; call++) {
			assertThat(service.commit(Transaction.empty().require("a", 7).put("a", "1")).get())
				.isInstanceOf(CommitResult.Conflict.class);
		}
	}

	@Test
	void callsBeyondTheConcurrencyLimitAreRefusedWithoutReachingTheStore() {
		CountDownLatch release = new CountDownLatch(1);
		CountDownLatch arrived = new CountDownLatch(2);
		StoreProtection protection = new StoreProtection(
				new ProtectionSettings(2, 3, ProtectionSettings.DEFAULT.backoff()), this.time, new Random(1));
		List<CompletableFuture<Either<Failure, Row>>> calls = new ArrayList<>();
		for (int call = 0; call < 2; call++) {
			calls.add(CompletableFuture.supplyAsync(() -> protection.call(() -> blockedRead(arrived, release))));
		}
		await(arrived);
		assertThat(protection.call(() -> this.table.read("a")).getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
		assertThat(this.table.counts().reads()).isZero();
		release.countDown();
		assertThat(calls)
			.allSatisfy((call) -> assertThat(call.orTimeout(30, TimeUnit.SECONDS).join().isRight()).isTrue());
		assertThat(protection.call(() -> this.table.read("a")).isRight()).isTrue();
	}

	@Test
	void onlyOneProbeIsMadeAtATime() {
		StoreProtection protection = new StoreProtection(ProtectionSettings.DEFAULT, this.time, new Random(1));
		this.table.faults().down(true);
		for (int call = 0; call < 3; call++) {
			protection.call(() -> this.table.read("a"));
		}
		this.table.faults().down(false);
		this.time.advance(ProtectionSettings.DEFAULT.backoff().maximum());
		Either<Failure, Row> probe = protection.call(() -> {
			assertThat(protection.call(() -> this.table.read("b")).isLeft()).isTrue();
			return this.table.read("a");
		});
		assertThat(probe.isRight()).isTrue();
		assertThat(protection.call(() -> this.table.read("b")).isRight()).isTrue();
	}

	private TableService protectedTable(int seed) {
		return new ProtectedTableService(this.table,
				new StoreProtection(ProtectionSettings.DEFAULT, this.time, new Random(seed)));
	}

	private Either<Failure, Row> blockedRead(CountDownLatch arrived, CountDownLatch release) {
		arrived.countDown();
		await(release);
		return Either.right(Row.absent("a"));
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
