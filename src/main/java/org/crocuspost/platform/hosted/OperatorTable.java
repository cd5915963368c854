package org.crocuspost.platform.hosted;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.lead.OperatorView;
import org.crocuspost.lead.TableWatchSettings;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.rows.IsolatedRows;
import org.crocuspost.rows.RowStore;
import org.crocuspost.rows.RowWatch;
import org.crocuspost.rows.RowWatchListener;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Timer;

/**
 * Watches the table of the platform's store that the operator writes, and holds the
 * newest configuration and the failure domains that are out of service.
 */
public final class OperatorTable implements OperatorView, RowWatchListener {

	private static final String TABLE = "op";

	private static final String CONFIGURATION_KEY = "config";

	private static final String EVACUATION_PREFIX = "evacuate/";

	private final RowWatch watch;

	private final Set<String> evacuated = new HashSet<>();

	private Optional<QueueConfiguration> configuration = Optional.empty();

	/**
	 * Creates an empty view. {@link #start()} fills it.
	 * @param store the store
	 * @param clock the clock of the process
	 * @param timer the timer of the event loop
	 */
	public OperatorTable(RowStore store, Clock clock, Timer timer) {
		this.watch = new RowWatch(store, TABLE, TableWatchSettings.OPERATOR_WATCH, this, clock, timer);
	}

	/**
	 * Starts to watch the operator's table.
	 */
	public void start() {
		this.watch.start();
	}

	@Override
	public void tableRead(List<StoredRow> rows) {
		Set<String> previous = Set.copyOf(this.evacuated);
		this.evacuated.clear();
		IsolatedRows.apply(rows, this::applyRow);
		if (!previous.equals(this.evacuated)) {
			logEvacuations();
		}
	}

	@Override
	public void rowsChanged(List<StoredRow> rows) {
		IsolatedRows.apply(rows, this::applyRow);
		if (rows.stream().anyMatch((row) -> row.key().startsWith(EVACUATION_PREFIX))) {
			logEvacuations();
		}
	}

	private void logEvacuations() {
		EventLog.info(OperatorEvent.FAILURE_DOMAINS_OUT, Field.of("failureDomains", this.evacuated));
	}

	private void applyRow(StoredRow row) {
		if (row.key().equals(CONFIGURATION_KEY) && row.exists()) {
			applyConfiguration(row);
		}
		else if (row.key().startsWith(EVACUATION_PREFIX)) {
			String failureDomain = row.key().substring(EVACUATION_PREFIX.length());
			if (row.exists()) {
				this.evacuated.add(failureDomain);
			}
			else {
				this.evacuated.remove(failureDomain);
			}
		}
	}

	private void applyConfiguration(StoredRow row) {
		Optional<QueueConfiguration> next = ConfigurationDecoder.decode(row.value());
		if (next.isEmpty()) {
			EventLog.warn(OperatorEvent.CONFIGURATION_IGNORED, Field.of("rowVersion", row.version()));
			return;
		}
		long currentVersion = this.configuration.map(QueueConfiguration::version).orElse(0L);
		if (next.get().version() > currentVersion) {
			this.configuration = next;
			EventLog.info(OperatorEvent.CONFIGURATION_IN_FORCE, Field.of("version", next.get().version()),
					Field.of("former", currentVersion), Field.of("queues", next.get().queues().size()));
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
