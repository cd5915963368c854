package org.crocuspost.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.error.Failure;
import org.crocuspost.platform.objects.ObjectStore;

/**
 * Object store whose calls pass through a {@link StoreProtection}.
 */
public final class ProtectedObjectStore implements ObjectStore {

	private final ObjectStore objects;

	private final StoreProtection protection;

	/**
	 * Creates the protected store.
	 * @param objects the object store
	 * @param protection the protection, which refuses calls while the store fails or is
	 * overloaded
	 */
	public ProtectedObjectStore(ObjectStore objects, StoreProtection protection) {
		this.objects = objects;
		this.protection = protection;
	}

	@Override
	public Either<Failure, String> put(String name, byte[] content) {
		return this.protection.call(() -> this.objects.put(name, content));
	}

	@Override
	public Either<Failure, Option<byte[]>> get(String name) {
		return this.protection.call(() -> this.objects.get(name));
	}

}
