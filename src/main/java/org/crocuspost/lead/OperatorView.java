package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.QueueConfiguration;

/**
 * This process's view of what the operator has set.
 */
public interface OperatorView {

	/**
	 * Returns the newest configuration that was read.
	 * @return the configuration, or empty if none has been read yet
	 */
	Optional<QueueConfiguration> configuration();

	/**
	 * Returns the failure domains that are out of service.
	 * @return the names of the failure domains
	 */
	Set<String> evacuatedDomains();

	/**
	 * Returns the maximum age of the view.
	 * @return the time since the store last confirmed it
	 */
	Duration age();

}
