package org.crocuspost.distribution;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.ConfigurationListener;
import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.error.Failure;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.platform.table.Row;
import org.crocuspost.platform.table.TableService;
import org.crocuspost.release.ConfigurationHead;
import org.crocuspost.release.ConfigurationHeadReader;
import org.crocuspost.release.SnapshotStore;
import org.crocuspost.time.Cancellable;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Polls the head row in entries and schedulers and adopts each newer configuration. The
 * version only rises: a read from a lagging replica and an answer that was overtaken are
 * ignored. The first read, and each read while an agent is known to act on a newer
 * version, is confirmed by a transaction, so that a restarted process never begins on an
 * older version. While the store fails, the last configuration stays.
 */
public final class HeadWatcher implements ConfigurationSource, ConfigurationListener {

	/**
	 * Mean time between two polls.
	 */
	public static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	private static final double JITTER = 0.2;

	private final ConfigurationHeadReader heads;

	private final SnapshotStore snapshots;

	private final Clock clock;

	private final Timer timer;

	private final Executor blocking;

	private final RandomGenerator random;

	private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();

	private volatile Configuration current = Configuration.EMPTY;

	// Not guarded by the lock of this object: those who report a version hold locks of
	// their
	// own, which listeners called under this lock may want.
	private final AtomicLong newestHeardOf = new AtomicLong();

	private volatile long readAtNanos;

	private volatile boolean ready;

	private volatile boolean failing;

	private volatile boolean stopped;

	private volatile Cancellable next = () -> {
	};

	/**
	 * Creates the watcher.
	 * @param table the table service
	 * @param snapshots keeps the configurations
	 * @param clock tells how old the newest read is
	 * @param timer schedules the polls
	 * @param blocking runs the polls, which block
	 * @param random spreads the polls of several processes
	 */
	public HeadWatcher(TableService table, SnapshotStore snapshots, Clock clock, Timer timer, Executor blocking,
			RandomGenerator random) {
		this.heads = new ConfigurationHeadReader(table);
		this.snapshots = snapshots;
		this.clock = clock;
		this.timer = timer;
		this.blocking = blocking;
		this.random = random;
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.blocking.execute(this::pollAndRepeat);
	}

	/**
	 * Ends polling.
	 */
	public void stop() {
		this.stopped = true;
		this.next.cancel();
	}

	private void pollAndRepeat() {
		try {
			poll();
		}
		finally {
			if (!this.stopped) {
				double factor = 1 + JITTER * (2 * this.random.nextDouble() - 1);
				Duration delay = Duration.ofNanos((long) (POLL_INTERVAL.toNanos() * factor));
				this.next = this.timer.schedule(delay, () -> this.blocking.execute(this::pollAndRepeat));
			}
		}
	}

	/**
	 * Reads the head once and adopts a newer configuration. Blocks.
	 */
	public void poll() {
		long startedAt = this.clock.nanoTime();
		long heardBefore = this.newestHeardOf.get();
		boolean confirm = !this.ready || behind();
		Either<Failure, Row> row = confirm ? this.heads.readConfirmed() : this.heads.read();
		row.map(ConfigurationHead::of)
			.flatMap(this::load)
			.peek((configuration) -> succeeded(configuration, startedAt))
			.peek((configuration) -> refute(confirm, heardBefore))
			.peekLeft(this::failed);
	}

	// After a confirmed read a newer version that was heard of before it does not exist:
	// it comes from another deployment or from a table that was set back.
	private void refute(boolean confirmed, long heardBefore) {
		if (confirmed) {
			this.newestHeardOf.compareAndSet(heardBefore, Math.min(heardBefore, this.current.version()));
		}
	}

	private Either<Failure, Configuration> load(ConfigurationHead head) {
		Configuration known = this.current;
		return (head.version() <= known.version()) ? Either.right(known) : this.snapshots.load(head);
	}

	private void succeeded(Configuration configuration, long startedAt) {
		configurationChanged(configuration);
		this.readAtNanos = startedAt;
		this.ready = true;
		if (this.failing) {
			this.failing = false;
			EventLog.info(DistributionEvent.CONFIGURATION_READABLE);
		}
	}

	private void failed(Failure failure) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(DistributionEvent.CONFIGURATION_UNREADABLE, Field.of("reason", failure.message()));
		}
	}

	/**
	 * Adopts a configuration if it is newer. Called also with a configuration that this
	 * process itself has accepted, which need not wait for the next poll.
	 * @param configuration the configuration
	 */
	@Override
	public synchronized void configurationChanged(Configuration configuration) {
		if (configuration.version() <= this.current.version()) {
			return;
		}
		this.current = configuration;
		EventLog.info(DistributionEvent.CONFIGURATION_ADOPTED, Field.of("version", configuration.version()),
				Field.of("noteId", configuration.noteId()));
		this.listeners.forEach((listener) -> listener.configurationChanged(configuration));
	}

	/**
	 * Takes note that another process acts on a version.
	 * @param version the version
	 */
	public void heardOf(long version) {
		this.newestHeardOf.accumulateAndGet(version, Math::max);
	}

	@Override
	public Configuration current() {
		return this.current;
	}

	@Override
	public void addListener(ConfigurationListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Says whether the process has read the newest version since it started.
	 * @return true from the first successful read on
	 */
	public boolean ready() {
		return this.ready;
	}

	/**
	 * Says whether another process is known to act on a newer version.
	 * @return true until this process has caught up
	 */
	public boolean behind() {
		return this.newestHeardOf.get() > this.current.version();
	}

	/**
	 * Says whether the head was read a short time ago.
	 * @param limit the greatest age of the read
	 * @return true if the newest successful read is younger
	 */
	public boolean readWithin(Duration limit) {
		return this.ready && !behind() && this.clock.nanoTime() - this.readAtNanos < limit.toNanos();
	}

}
