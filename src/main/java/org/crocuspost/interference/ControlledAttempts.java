package org.crocuspost.interference;

import java.util.List;

/**
 * Gives the batch attempts that run on the worker.
 */
@FunctionalInterface
public interface ControlledAttempts {

	/**
	 * Returns the attempts that run now.
	 * @return the attempts in a stable order
	 */
	List<ControlledAttempt> current();

}
