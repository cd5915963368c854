package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;

/**
 * View of a configuration with a single queue that is always up to date.
 *
 * @param queue the queue
 */
record OneQueueView(Queue queue) implements OperatorView {

	@Override
	public Optional<QueueConfiguration> configuration() {
		return Optional.of(new QueueConfiguration(1, List.of(this.queue), List.of(), 1_000));
	}

	@Override
	public Set<String> evacuatedDomains() {
		return Set.of();
	}

	@Override
	public Duration age() {
		return Duration.ZERO;
	}

}
