package org.crocuspost.platform.hosted;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.lead.TableWatchSettings;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Follows what the operator writes into the platform's store.
 */
public final class OperatorTable implements OperatorView, RowWatchListener {

	private static final String TABLE = "op";

	private static final String CONFIGURATION = "config";

	private static final String EVACUATION = "evacuate/";

	private final RowWatch watch;

	private final Set<String> evacuated = new HashSet<>();

	private Optional<QueueConfiguration> configuration = Optional.empty();

	/**
	 * Creates the view. It is filled from {@link #start()}.
	 * @param store the store
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public OperatorTable(RowStore store, Clock clock, Timer timer) {
		this.watch = new RowWatch(store, TABLE, TableWatchSettings.OPERATOR_WATCH, this, clock, timer);
	}

	/**
	 * Begins to follow the operator.
	 */
	public void start() {
		this.watch.start();
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		Set<String> former = Set.copyOf(this.evacuated);
		this.evacuated.clear();
		rows.forEach(this::learn);
		if (!former.equals(this.evacuated)) {
			logEvacuations();
		}
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		rows.forEach(this::learn);
		if (rows.stream().anyMatch((row) -> row.key().startsWith(EVACUATION))) {
			logEvacuations();
		}
	}

	private void logEvacuations() {
		EventLog.info(OperatorEvent.FAILURE_DOMAINS_OUT, Field.of("failureDomains", this.evacuated));
	}

	private void learn(StoredRow row) {
		if (row.key().equals(CONFIGURATION) && row.exists()) {
			learnConfiguration(row);
		}
		else if (row.key().startsWith(EVACUATION)) {
			String failureDomain = row.key().substring(EVACUATION.length());
			if (row.exists()) {
				this.evacuated.add(failureDomain);
			}
			else {
				this.evacuated.remove(failureDomain);
			}
		}
	}

	private void learnConfiguration(StoredRow row) {
		Optional<QueueConfiguration> next = ConfigurationDecoder.decode(row.value());
		if (next.isEmpty()) {
			EventLog.warn(OperatorEvent.CONFIGURATION_IGNORED, Field.of("rowVersion", row.version()));
			return;
		}
		long known = this.configuration.map(QueueConfiguration::version).orElse(0L);
		if (next.get().version() > known) {
			this.configuration = next;
			EventLog.info(OperatorEvent.CONFIGURATION_IN_FORCE, Field.of("version", next.get().version()),
					Field.of("former", known), Field.of("queues", next.get().queues().size()));
		}
	}

	@Override
	public Optional<QueueConfiguration> configuration() {
		return this.configuration;
	}

	@Override
	public Set<String> evacuatedDomains() {
		return this.evacuated;
	}

	@Override
	public Duration age() {
		return this.watch.age();
	}

}
