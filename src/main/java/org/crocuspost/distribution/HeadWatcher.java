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
 * Polls the head row, which names the newest configuration, in entries and schedulers and
 * adopts each newer configuration. The version never decreases: a read from a lagging
 * replica and a read that completes after a newer one are ignored. The first read, and
 * each read while an agent has confirmed a newer version, is confirmed by a transaction,
 * so that a restarted process never starts with an older version. While the store fails,
 * the last configuration is kept.
 */
public final class HeadWatcher implements ConfigurationSource, ConfigurationListener {

	/**
	 * Mean time between two polls.
	 */
	public static final Duration POLL_INTERVAL = Duration.ofMillis(500);

	private static final double JITTER = 0.2;

	private final ConfigurationHeadReader headReader;

	private final SnapshotStore snapshots;

	private final Clock clock;

	private final Timer timer;

	private final Executor blockingExecutor;

	private final RandomGenerator random;

	private final List<ConfigurationListener> listeners = new CopyOnWriteArrayList<>();

	private volatile Configuration current = Configuration.EMPTY;

	// Not guarded by the lock of this object: callers that report a version hold locks of
	// their own, which listeners that run under this lock may acquire (deadlock).
	private final AtomicLong newestObservedVersion = new AtomicLong();

	private volatile long readAtNanos;

	private volatile boolean ready;

	private volatile boolean failing;

	private volatile boolean stopped;

	private volatile Cancellable nextPoll = () -> {
	};

	/**
	 * Creates the watcher.
	 * @param table the table service
	 * @param snapshots stores the configurations
	 * @param clock measures the age of the newest read
	 * @param timer schedules the polls
	 * @param blockingExecutor runs the polls, which block
	 * @param random the source of the jitter that spreads the polls of several processes
	 */
	public HeadWatcher(TableService table, SnapshotStore snapshots, Clock clock, Timer timer, Executor blockingExecutor,
			RandomGenerator random) {
		this.headReader = new ConfigurationHeadReader(table);
		this.snapshots = snapshots;
		this.clock = clock;
		this.timer = timer;
		this.blockingExecutor = blockingExecutor;
		this.random = random;
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.blockingExecutor.execute(this::pollAndRepeat);
	}

	/**
	 * Stops polling.
	 */
	public void stop() {
		this.stopped = true;
		this.nextPoll.cancel();
	}

	private void pollAndRepeat() {
		try {
			poll();
		}
		finally {
			if (!this.stopped) {
				double factor = 1 + JITTER * (2 * this.random.nextDouble() - 1);
				Duration delay = Duration.ofNanos((long) (POLL_INTERVAL.toNanos() * factor));
				this.nextPoll = this.timer.schedule(delay, () -> this.blockingExecutor.execute(this::pollAndRepeat));
			}
		}
	}

	/**
	 * Reads the head once and adopts a newer configuration. Blocks.
	 */
	public void poll() {
		long startedAt = this.clock.nanoTime();
		long observedBefore = this.newestObservedVersion.get();
		boolean confirm = !this.ready || behind();
		Either<Failure, Row> row = confirm ? this.headReader.readConfirmed() : this.headReader.read();
		row.map(ConfigurationHead::of)
			.flatMap(this::load)
			.peek((configuration) -> readSucceeded(configuration, startedAt))
			.peek((configuration) -> discardNonexistentVersion(confirm, observedBefore))
			.peekLeft(this::readFailed);
	}

	// A newer version that was reported before a confirmed read does not exist: it comes
	// from another deployment or from a table that was restored to an earlier state.
	private void discardNonexistentVersion(boolean confirmed, long observedBefore) {
		if (confirmed) {
			this.newestObservedVersion.compareAndSet(observedBefore, Math.min(observedBefore, this.current.version()));
		}
	}

	private Either<Failure, Configuration> load(ConfigurationHead head) {
		Configuration known = this.current;
		return (head.version() <= known.version()) ? Either.right(known) : this.snapshots.load(head);
	}

	private void readSucceeded(Configuration configuration, long startedAt) {
		configurationChanged(configuration);
		this.readAtNanos = startedAt;
		this.ready = true;
		if (this.failing) {
			this.failing = false;
			EventLog.info(DistributionEvent.CONFIGURATION_READABLE);
		}
	}

	private void readFailed(Failure failure) {
		if (!this.failing) {
			this.failing = true;
			EventLog.warn(DistributionEvent.CONFIGURATION_UNREADABLE, Field.of("reason", failure.message()));
		}
	}

	/**
	 * Adopts a configuration if it is newer. Also called with a configuration that this
	 * process has accepted itself, which need not wait for the next poll.
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
	 * Records that another process acts on a version.
	 * @param version the version
	 */
	public void observeVersion(long version) {
		this.newestObservedVersion.accumulateAndGet(version, Math::max);
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
	 * Returns whether the process has read the newest version since it started.
	 * @return true after the first successful read
	 */
	@Override
	public boolean ready() {
		return this.ready;
	}

	/**
	 * Returns whether another process has been observed to act on a newer version.
	 * @return true until this process has adopted that version or found that it does not
	 * exist
	 */
	public boolean behind() {
		return this.newestObservedVersion.get() > this.current.version();
	}

	/**
	 * Returns whether the head was read recently.
	 * @param limit the age below which a read is recent
	 * @return true if the newest successful read is younger and no newer version has been
	 * observed
	 */
	public boolean readWithin(Duration limit) {
		return this.ready && !behind() && this.clock.nanoTime() - this.readAtNanos < limit.toNanos();
	}

}
