package org.crocuspost.entry;

import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import ratpack.exec.Promise;
import ratpack.http.Request;
import ratpack.http.RequestBodyTooLargeException;

/**
 * Reads the whole body of a request, up to a limit.
 *
 * <p>
 * A body over the limit is read on and dropped, up to {@link #DISCARD_FACTOR} times the
 * limit, before the request is refused. A server that answers and closes while the caller
 * still writes resets the connection, and the caller may see the reset in place of the
 * answer.
 */
final class BodyReader {

	/**
	 * How many times the limit is read before the connection is closed at once.
	 */
	static final int DISCARD_FACTOR = 8;

	private final int maximumBytes;

	/**
	 * Creates a reader.
	 * @param maximumBytes the largest body that is accepted
	 */
	BodyReader(int maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reads a body.
	 * @param request the request
	 * @return the body; empty if it is too large
	 */
	Promise<Optional<ByteString>> read(Request request) {
		long discardBytes = (long) this.maximumBytes * DISCARD_FACTOR;
		return request.getBodyStream(discardBytes)
			.reduce(new Content(this.maximumBytes), Content::add)
			.map(Content::body)
			.mapError(RequestBodyTooLargeException.class, (error) -> Optional.empty());
	}

	/**
	 * What was read so far. Used by one execution only.
	 */
	private static final class Content {

		private final int maximumBytes;

		private ByteString bytes = ByteString.EMPTY;

		private boolean tooLarge;

		private Content(int maximumBytes) {
			this.maximumBytes = maximumBytes;
		}

		private Content add(ByteBuf part) {
			try {
				this.tooLarge |= this.bytes.size() + part.readableBytes() > this.maximumBytes;
				this.bytes = this.tooLarge ? ByteString.EMPTY
						: this.bytes.concat(UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(part)));
				return this;
			}
			finally {
				part.release();
			}
		}

		private Optional<ByteString> body() {
			return this.tooLarge ? Optional.empty() : Optional.of(this.bytes);
		}

	}

}
