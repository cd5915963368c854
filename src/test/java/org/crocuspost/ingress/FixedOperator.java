package org.crocuspost.ingress;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.lead.OperatorView;

/**
 * Operator's configuration with a single queue.
 */
final class FixedOperator implements OperatorView {

	private Duration age = Duration.ZERO;

	void setAge(Duration value) {
		this.age = value;
	}

	@Override
	public Optional<QueueConfiguration> configuration() {
		return Optional.of(new QueueConfiguration(1,
				List.of(new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ZERO, false)), List.of(),
				1_000));
	}

	@Override
	public Set<String> evacuatedDomains() {
		return Set.of();
	}

	@Override
	public Duration age() {
		return this.age;
	}

}
