package org.crocuspost.store;

import java.util.concurrent.Semaphore;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Clock;

/**
 * Lets calls to one store through while it is healthy and refuses them at once otherwise.
 * It never repeats a call: whoever polls calls again at its next interval. Safe for use
 * by several threads.
 */
public final class StoreProtection {

	private final CircuitBreaker breaker;

	private final Semaphore inFlight;

	/**
	 * Creates the protection of one store.
	 * @param settings the bounds
	 * @param clock the clock
	 * @param random the source of jitter
	 */
	public StoreProtection(ProtectionSettings settings, Clock clock, RandomGenerator random) {
		this.breaker = new CircuitBreaker(settings, clock, random);
		this.inFlight = new Semaphore(settings.callsInFlight());
	}

	/**
	 * Makes a call if the bounds allow it.
	 * @param call the call
	 * @param <T> the type of the answer
	 * @return the answer; {@code STORE_UNAVAILABLE} if the call was not made
	 */
	public <T> Either<Failure, T> call(Supplier<Either<Failure, T>> call) {
		if (!this.inFlight.tryAcquire()) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("too many calls are in flight"));
		}
		try {
			if (!this.breaker.tryAcquirePermission()) {
				return Either.left(ErrorCode.STORE_UNAVAILABLE.with("it has failed and is not called for a while"));
			}
			return observed(call);
		}
		finally {
			this.inFlight.release();
		}
	}

	private <T> Either<Failure, T> observed(Supplier<Either<Failure, T>> call) {
		boolean healthy = false;
		try {
			Either<Failure, T> result = call.get();
			healthy = result.isRight() || !unhealthy(result.getLeft().code());
			return result;
		}
		finally {
			if (healthy) {
				this.breaker.recordSuccess();
			}
			else {
				this.breaker.recordFailure();
			}
		}
	}

	private static boolean unhealthy(ErrorCode code) {
		return code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.STORE_UNKNOWN;
	}

	/**
	 * Says whether calls are made now, for readiness and metrics.
	 * @return the state of the circuit breaker
	 */
	public CircuitBreaker.State state() {
		return this.breaker.state();
	}

}
