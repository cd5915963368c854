package org.crocuspost.lead;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.QueueConfiguration;

/**
 * What the operator wants, as far as this process knows.
 */
public interface OperatorView {

	/**
	 * Returns the newest configuration.
	 * @return the configuration, or empty if none was read yet
	 */
	Optional<QueueConfiguration> configuration();

	/**
	 * Returns the failure domains that are out.
	 * @return the names
	 */
	Set<String> evacuatedDomains();

	/**
	 * Returns how old the view may be.
	 * @return the time since the store last confirmed it
	 */
	Duration age();

}
