package org.crocuspost.store;

import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Clock;

/**
 * Limits the concurrent calls to one store and refuses calls immediately while the
 * circuit breaker of the store is open. It never retries a call: a caller that polls
 * makes its next call at the next interval. This class is thread-safe.
 */
public final class StoreProtection {

	private final CircuitBreaker breaker;

	private final Semaphore callPermits;

	/**
	 * Creates the protection of one store.
	 * @param settings the limits of calls
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public StoreProtection(ProtectionSettings settings, Clock clock, RandomGenerator random) {
		this.breaker = new CircuitBreaker(settings, clock, random);
		this.callPermits = new Semaphore(settings.maxConcurrentCalls());
	}

	/**
	 * Makes a call if the limits and the circuit breaker allow it.
	 * @param call the call
	 * @param <T> the type of the answer
	 * @return the answer of the store; {@code STORE_UNAVAILABLE} if the call was not made
	 */
	public <T> Either<Failure, T> call(Supplier<Either<Failure, T>> call) {
		if (!this.callPermits.tryAcquire()) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("too many calls are in flight"));
		}
		try {
			if (!this.breaker.tryAcquirePermission()) {
				return Either.left(ErrorCode.STORE_UNAVAILABLE.with("it has failed and is not called for a while"));
			}
			return callAndRecord(call);
		}
		finally {
			this.callPermits.release();
		}
	}

	private <T> Either<Failure, T> callAndRecord(Supplier<Either<Failure, T>> call) {
		boolean storeHealthy = false;
		try {
			Either<Failure, T> result = call.get();
			storeHealthy = result.isRight() || !isStoreFailure(result.getLeft().code());
			return result;
		}
		finally {
			if (storeHealthy) {
				this.breaker.recordSuccess();
			}
			else {
				this.breaker.recordFailure();
			}
		}
	}

	private static boolean isStoreFailure(ErrorCode code) {
		return code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_UNKNOWN;
	}

	/**
	 * Returns the state of the circuit breaker, which determines whether calls are made,
	 * for readiness checks and metrics.
	 * @return the state of the circuit breaker
	 */
	public CircuitBreaker.State state() {
		return this.breaker.state();
	}

}
