package org.crocuspost.interference;

import java.util.List;

/**
 * Supplies the batch attempts that are running on the worker.
 */
@FunctionalInterface
public interface ControlledAttempts {

	/**
	 * Returns the attempts that are currently running.
	 * @return the attempts in a stable order
	 */
	List<ControlledAttempt> current();

}
