package org.crocuspost.release;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.json.Json;
import org.crocuspost.platform.objects.ObjectStore;

/**
 * Stores snapshots of configurations and the content of notes in the object store,
 * compressed with gzip and named by their digests.
 */
public final class SnapshotStore {

	private static final String SNAPSHOT_PREFIX = "configuration/";

	private static final String NOTE_PREFIX = "note/";

	private static final int PUT_ATTEMPTS = 3;

	private final ObjectStore objects;

	/**
	 * Creates an instance.
	 * @param objects the object store
	 */
	public SnapshotStore(ObjectStore objects) {
		this.objects = objects;
	}

	/**
	 * Stores a configuration.
	 * @param configuration the configuration
	 * @return its digest; {@code STORE_UNAVAILABLE} if the store did not confirm it
	 */
	public Either<Failure, String> save(Configuration configuration) {
		return save(SNAPSHOT_PREFIX, CanonicalJson.write(configuration));
	}

	/**
	 * Stores a note.
	 * @param note the note
	 * @return its digest; {@code STORE_UNAVAILABLE} if the store did not confirm it
	 */
	public Either<Failure, String> save(ReleaseNote note) {
		return save(NOTE_PREFIX, CanonicalJson.write(note));
	}

	/**
	 * Reads a configuration.
	 * @param head the head that identifies the configuration
	 * @return the configuration
	 */
	public Either<Failure, Configuration> load(ConfigurationHead head) {
		if (head.version() == 0) {
			return Either.right(Configuration.EMPTY);
		}
		return loadConfiguration(head.digest());
	}

	/**
	 * Reads a configuration.
	 * @param digest the digest of its snapshot
	 * @return the configuration
	 */
	public Either<Failure, Configuration> loadConfiguration(String digest) {
		return load(SNAPSHOT_PREFIX, digest, Configuration.class);
	}

	/**
	 * Reads a note.
	 * @param digest the digest of the note
	 * @return the note
	 */
	public Either<Failure, ReleaseNote> loadNote(String digest) {
		return load(NOTE_PREFIX, digest, ReleaseNote.class);
	}

	private Either<Failure, String> save(String prefix, byte[] content) {
		String digest = Digests.sha256(content);
		byte[] compressed = compress(content);
		Either<Failure, String> result = this.objects.put(prefix + digest, compressed);
		for (int attempt = 1; attempt < PUT_ATTEMPTS && isUnknown(result); attempt++) {
			result = this.objects.put(prefix + digest, compressed);
		}
		return result.map((name) -> digest).mapLeft(SnapshotStore::toUnavailable);
	}

	private static boolean isUnknown(Either<Failure, String> result) {
		return result.isLeft() && result.getLeft().code() == ErrorCode.STORE_UNKNOWN;
	}

	// An object that no row references yet has no effect, even if it was stored.
	private static Failure toUnavailable(Failure failure) {
		return (failure.code() == ErrorCode.STORE_UNKNOWN) ? ErrorCode.STORE_UNAVAILABLE.with(failure.message())
				: failure;
	}

	private <T> Either<Failure, T> load(String prefix, String digest, Class<T> type) {
		return this.objects.get(prefix + digest).flatMap((content) -> decode(prefix + digest, digest, content, type));
	}

	private static <T> Either<Failure, T> decode(String name, String digest, Option<byte[]> content, Class<T> type) {
		if (content.isEmpty()) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("object " + name + " is missing"));
		}
		try {
			byte[] bytes = decompress(content.get());
			if (!Digests.sha256(bytes).equals(digest)) {
				return Either.left(ErrorCode.STORE_UNAVAILABLE.with("object " + name + " does not have its digest"));
			}
			return Either.right(Json.mapper().readValue(bytes, type));
		}
		catch (IOException ex) {
			return Either.left(ErrorCode.STORE_UNAVAILABLE.with("object " + name + " is damaged"));
		}
	}

	private static byte[] compress(byte[] content) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream output = new GZIPOutputStream(bytes)) {
			output.write(content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	private static byte[] decompress(byte[] content) throws IOException {
		try (GZIPInputStream input = new GZIPInputStream(new ByteArrayInputStream(content))) {
			return input.readAllBytes();
		}
	}

}
