package org.crocuspost.platform.objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;

/**
 * Store of immutable objects. Calls block until the platform answers or the call's time
 * limit passes; they never throw.
 */
public interface ObjectStore {

	/**
	 * Stores an object. Storing the same bytes again under the same name has no effect,
	 * so a call whose answer was lost is repeated.
	 * @param name the name, which holds a digest of the content
	 * @param content the content
	 * @return the name
	 */
	Either<Failure, String> put(String name, byte[] content);

	/**
	 * Reads an object.
	 * @param name the name
	 * @return the content, or none if there is no such object
	 */
	Either<Failure, Option<byte[]>> get(String name);

}
