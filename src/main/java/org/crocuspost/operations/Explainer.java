package org.crocuspost.operations;

import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;

/**
 * Explains the state of a task or a request. May block.
 */
@FunctionalInterface
public interface Explainer {

	/**
	 * Explains a state.
	 * @param id the identity
	 * @return the explanation; {@code NOT_FOUND} if nothing is known
	 */
	Either<Failure, Explanation> explain(String id);

	/**
	 * Returns an explainer that knows nothing.
	 * @param kind what the identities name
	 * @return the explainer
	 */
	static Explainer none(String kind) {
		return (id) -> Either.left(ErrorCode.NOT_FOUND.with(kind + " " + id));
	}

}
