package org.crocuspost.distribution;

import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Reads the summaries of all live entries and schedulers.
 */
@FunctionalInterface
public interface ConfirmationReader {

	/**
	 * Reads the summaries. May block.
	 * @return one summary for each live process
	 */
	Either<Failure, List<ProcessConfirmation>> read();

}
