package org.crocuspost.operations;

import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Gives the lines of a view. Implemented by the slice that has them. May block.
 *
 * @param <T> the record of one line
 */
@FunctionalInterface
public interface View<T> {

	/**
	 * Reads the lines.
	 * @return the lines in the order in which they are shown
	 */
	Either<Failure, List<T>> read();

	/**
	 * Returns a view without lines.
	 * @param <T> the record of one line
	 * @return the view
	 */
	static <T> View<T> empty() {
		return () -> Either.right(List.of());
	}

}
