package org.crocuspost.standin.objects;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.objects.ObjectStore;
import org.crocuspost.standin.CallCounter;
import org.crocuspost.standin.Pause;
import org.crocuspost.standin.StoreCounts;
import org.crocuspost.standin.StoreFaults;
import org.crocuspost.standin.WriteFault;

/**
 * In-memory object store. Safe for use by several threads. Objects are immutable: a write
 * of different content under an existing name is rejected as malformed.
 */
public final class ObjectStandIn implements ObjectStore {

	private final ConcurrentMap<String, byte[]> objects = new ConcurrentHashMap<>();

	private final Deque<Write> heldWrites = new ArrayDeque<>();

	private final CallCounter counter = new CallCounter();

	private final StoreFaults faults = new StoreFaults();

	private final Pause pause;

	/**
	 * Creates an empty store that does not wait in slow calls.
	 */
	public ObjectStandIn() {
		this(Pause.none());
	}

	/**
	 * Creates an empty store.
	 * @param pause waits in slow calls
	 */
	public ObjectStandIn(Pause pause) {
		this.pause = pause;
	}

	/**
	 * Returns the fault settings. Objects are immutable, so a stale read finds no object
	 * at all.
	 * @return the settings
	 */
	public StoreFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the counts of the calls so far.
	 * @return the counts
	 */
	public StoreCounts counts() {
		return this.counter.counts();
	}

	/**
	 * Applies the writes that were held back by {@link WriteFault#HELD}, in order.
	 * @return the number of writes that were applied
	 */
	public synchronized int applyHeld() {
		int applied = 0;
		while (!this.heldWrites.isEmpty()) {
			Write write = this.heldWrites.removeFirst();
			if (apply(write.name(), write.content()).isRight()) {
				applied++;
			}
		}
		return applied;
	}

	@Override
	public Either<Failure, String> put(String name, byte[] content) {
		this.counter.write();
		this.pause.await(this.faults.delay());
		if (this.faults.isDown()) {
			return down();
		}
		return switch (this.faults.takeWriteFault()) {
			case NONE -> apply(name, content);
			case LOST_BEFORE_WRITE -> lost();
			case LOST_AFTER_WRITE -> {
				apply(name, content);
				yield lost();
			}
			case HELD -> {
				hold(new Write(name, content.clone()));
				yield lost();
			}
		};
	}

	private Either<Failure, String> apply(String name, byte[] content) {
		byte[] existing = this.objects.putIfAbsent(name, content.clone());
		if (existing != null && !Arrays.equals(existing, content)) {
			return Either.left(ErrorCode.MALFORMED.with("object " + name + " exists with another content"));
		}
		this.counter.changed(1);
		return Either.right(name);
	}

	private synchronized void hold(Write write) {
		this.heldWrites.addLast(write);
	}

	@Override
	public Either<Failure, Option<byte[]>> get(String name) {
		this.counter.read();
		this.pause.await(this.faults.delay());
		if (this.faults.isDown()) {
			return down();
		}
		if (this.faults.hasStaleReads()) {
			return Either.right(Option.none());
		}
		Option<byte[]> content = Option.of(this.objects.get(name)).map(byte[]::clone);
		content.forEach((bytes) -> this.counter.returned(1));
		return Either.right(content);
	}

	private static <T> Either<Failure, T> down() {
		return Either.left(ErrorCode.STORE_UNAVAILABLE.with("the object store is down"));
	}

	private static Either<Failure, String> lost() {
		return Either.left(ErrorCode.STORE_UNKNOWN.with("the answer was lost"));
	}

	private record Write(String name, byte[] content) {
	}

}
