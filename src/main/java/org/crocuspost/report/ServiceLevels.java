package org.crocuspost.report;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.crocuspost.configuration.ConfigurationSource;
import org.crocuspost.configuration.ServiceObjective;
import org.crocuspost.configuration.ServiceSpecification;
import org.crocuspost.time.Clock;

/**
 * Counts the requests of each service that meet or miss its objectives. The counts cover
 * this process only and are held in memory; for all entries, add up their reports with
 * {@link BurnReport#plus(BurnReport)}.
 */
public final class ServiceLevels implements ServiceLevelRecorder {

	private final ConfigurationSource configurations;

	private final Clock clock;

	private final Map<String, ServiceLevelHistory> histories = new ConcurrentHashMap<>();

	/**
	 * Creates counts that start at zero.
	 * @param configurations the source of the objectives
	 * @param clock the clock that gives the minute of a request
	 */
	public ServiceLevels(ConfigurationSource configurations, Clock clock) {
		this.configurations = configurations;
		this.clock = clock;
	}

	@Override
	public void record(String service, boolean available, Duration latency) {
		ServiceSpecification specification = this.configurations.current().services().get(service);
		if (specification == null) {
			return;
		}
		boolean slow = latency.compareTo(specification.objective().latency()) > 0;
		this.histories.computeIfAbsent(service, (name) -> new ServiceLevelHistory())
			.record(currentMinute(), available, slow, latency);
	}

	/**
	 * Returns the error budget burn of each configured service.
	 * @return the reports, ordered by the name of the service
	 */
	public List<BurnReport> report() {
		Map<String, ServiceSpecification> services = this.configurations.current().services();
		this.histories.keySet().retainAll(services.keySet());
		return new TreeMap<>(services).values()
			.stream()
			.map((service) -> report(service.name(), service.objective()))
			.toList();
	}

	private BurnReport report(String service, ServiceObjective objective) {
		ServiceLevelHistory history = this.histories.getOrDefault(service, new ServiceLevelHistory());
		return BurnReport.of(service, objective, history.minutes(), currentMinute(), history.percentile(50),
				history.percentile(99));
	}

	private long currentMinute() {
		return this.clock.instant().getEpochSecond() / Duration.ofMinutes(1).toSeconds();
	}

}
