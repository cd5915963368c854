package org.crocuspost.operations;

import java.util.List;

import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * Source of the rows of a view. Implemented by the component that holds the data. Reading
 * may block.
 *
 * @param <T> the type of a row
 */
@FunctionalInterface
public interface View<T> {

	/**
	 * Reads the rows.
	 * @return the rows in display order
	 */
	Either<Failure, List<T>> read();

	/**
	 * Returns a view without rows.
	 * @param <T> the type of a row
	 * @return the view
	 */
	static <T> View<T> empty() {
		return () -> Either.right(List.of());
	}

}
