package org.crocuspost.rows;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;
import org.crocuspost.time.Clock;

/**
 * Counts the calls to a store by outcome and measures the duration of commits and single
 * reads.
 */
public final class InstrumentedRowStore implements RowStore {

	private static final String OK = "ok";

	private static final String CONFLICT = "conflict";

	private final RowStore store;

	private final Clock clock;

	private final Counter calls;

	private final Histogram seconds;

	/**
	 * Creates the store and registers its metrics.
	 * @param store the store to call
	 * @param clock the clock of the process
	 * @param registry the metrics registry of the process
	 */
	public InstrumentedRowStore(RowStore store, Clock clock, PrometheusRegistry registry) {
		this.store = store;
		this.clock = clock;
		this.calls = Counter.builder()
			.name("crocuspost_store_calls_total")
			.help("Calls to the platform's store, by call and outcome.")
			.labelNames("call", "outcome")
			.register(registry);
		this.seconds = Histogram.builder()
			.name("crocuspost_store_call_seconds")
			.help("Time until a commit or a read of the platform's store was answered, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1)
			.labelNames("call")
			.register(registry);
	}

	@Override
	public void commit(RowTransaction transaction, Consumer<Either<Failure, RowCommit>> answer) {
		long started = this.clock.nanoTime();
		this.store.commit(transaction, (outcome) -> {
			measure("commit", started);
			count("commit", outcome, outcome.isRight() && !outcome.get().applied());
			answer.accept(outcome);
		});
	}

	@Override
	public void read(String table, String key, Consumer<Either<Failure, StoredRow>> answer) {
		long started = this.clock.nanoTime();
		this.store.read(table, key, (outcome) -> {
			measure("read", started);
			count("read", outcome, false);
			answer.accept(outcome);
		});
	}

	@Override
	public int partitions(String table) {
		return this.store.partitions(table);
	}

	@Override
	public void scan(PageRequest request, Consumer<Either<Failure, RowPage>> answer) {
		this.store.scan(request, (outcome) -> {
			count("scan", outcome, false);
			answer.accept(outcome);
		});
	}

	@Override
	public void changes(String table, long afterVersion, Duration maximumWait,
			Consumer<Either<Failure, RowChanges>> answer) {
		this.store.changes(table, afterVersion, maximumWait, (outcome) -> {
			count("changes", outcome, outcome.isRight() && outcome.get().historyLost());
			answer.accept(outcome);
		});
	}

	private void measure(String call, long started) {
		this.seconds.labelValues(call)
			.observe((this.clock.nanoTime() - started) / (double) TimeUnit.SECONDS.toNanos(1));
	}

	private void count(String call, Either<Failure, ?> outcome, boolean conflict) {
		String result = conflict ? CONFLICT : OK;
		this.calls.labelValues(call, outcome.isRight() ? result : outcome.getLeft().code().code()).inc();
	}

}
