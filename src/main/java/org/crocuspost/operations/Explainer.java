package org.crocuspost.operations;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Explains the state of a task or a request. Calls may block.
 */
@FunctionalInterface
public interface Explainer {

	/**
	 * Explains the state of a task or a request.
	 * @param id the id of the task or request
	 * @return the explanation; {@code NOT_FOUND} if the id is unknown
	 */
	Either<Failure, Explanation> explain(String id);

	/**
	 * Returns an explainer that answers {@code NOT_FOUND} to every id.
	 * @param kind the kind of object that the ids identify, for the error message
	 * @return the explainer
	 */
	static Explainer none(String kind) {
		return (id) -> Either.left(ErrorCode.NOT_FOUND.with(kind + " " + id));
	}

}
