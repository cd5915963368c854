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
 * Reads the whole body of a request, up to a maximum size.
 *
 * <p>
 * A body over the maximum is still read, up to {@link #DISCARD_FACTOR} times the maximum,
 * and discarded before the request is refused. If the server responded and closed the
 * connection while the caller was still writing, the connection would be reset and the
 * caller might see the reset instead of the response.
 */
final class BodyReader {

	/**
	 * Multiple of the maximum body size that is read before the connection is closed
	 * without reading the rest.
	 */
	static final int DISCARD_FACTOR = 8;

	private final int maximumBytes;

	/**
	 * Creates a reader.
	 * @param maximumBytes the largest body that is accepted, in bytes
	 */
	BodyReader(int maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Reads the body of a request.
	 * @param request the request
	 * @return the body; empty if it is larger than the maximum
	 */
	Promise<Optional<ByteString>> read(Request request) {
		long maximumReadBytes = (long) this.maximumBytes * DISCARD_FACTOR;
		return request.getBodyStream(maximumReadBytes)
			.reduce(new BodyAccumulator(this.maximumBytes), BodyAccumulator::add)
			.map(BodyAccumulator::body)
			.mapError(RequestBodyTooLargeException.class, (error) -> Optional.empty());
	}

	/**
	 * Accumulates the chunks of a body. Used by one Ratpack execution only, so not
	 * thread-safe.
	 */
	private static final class BodyAccumulator {

		private final int maximumBytes;

		private ByteString bytes = ByteString.EMPTY;

		private boolean tooLarge;

		private BodyAccumulator(int maximumBytes) {
			this.maximumBytes = maximumBytes;
		}

		private BodyAccumulator add(ByteBuf chunk) {
			try {
				this.tooLarge |= this.bytes.size() + chunk.readableBytes() > this.maximumBytes;
				this.bytes = this.tooLarge ? ByteString.EMPTY
						: this.bytes.concat(UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(chunk)));
				return this;
			}
			finally {
				chunk.release();
			}
		}

		private Optional<ByteString> body() {
			return this.tooLarge ? Optional.empty() : Optional.of(this.bytes);
		}

	}

}
