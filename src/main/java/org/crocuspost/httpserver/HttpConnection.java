package org.crocuspost.httpserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a caller. Reads a request as a whole, and reads the next one only
 * when the response was sent, so that a caller that does not read its responses holds one
 * of them at most.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {

	private static final int MAXIMUM_LINE_BYTES = 4_096;

	private static final int MAXIMUM_HEADER_BYTES = 8_192;

	private static final int MAXIMUM_CHUNK_BYTES = 8_192;

	/**
	 * Bytes of a head with the empty lines before it. The decoder counts only a line and
	 * the headers.
	 */
	private static final int MAXIMUM_HEAD_BYTES = MAXIMUM_LINE_BYTES + MAXIMUM_HEADER_BYTES + 1_024;

	/**
	 * Multiple of the largest body that is read and discarded before the request is
	 * refused. If the connection were closed earlier, the caller could see a reset
	 * instead of the response.
	 */
	private static final int DISCARD_FACTOR = 8;

	/**
	 * Bytes that a body takes per byte received, since its buffer grows by doubling.
	 */
	private static final int BODY_FACTOR = 2;

	/**
	 * Time after which a caller that has not taken its response counts as not reading.
	 */
	private static final long SLOW_READER_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final HttpHeadersFactory HEADERS = new HttpHeadersFactory() {

		@Override
		public HttpHeaders newHeaders() {
			return new RetainedHeaders();
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return new RetainedHeaders();
		}

	};

	private final ConnectionLimits limits;

	private final RequestMemory memory;

	private final HttpServerHandler handler;

	private final Channel channel;

	private final Decoder decoder = new Decoder();

	private Runnable requestEnded = () -> {
	};

	private @Nullable HttpRequest head;

	private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private long bodyBytes;

	private int headBytes;

	private long held;

	private State state = State.READING;

	private long stateNanos = System.nanoTime();

	private long progressNanos = this.stateNanos;

	/**
	 * What the connection waits for.
	 */
	private enum State {

		/**
		 * For the rest of a request or for the next one.
		 */
		READING,

		/**
		 * For the handler.
		 */
		HANDLING,

		/**
		 * For the caller to take the response.
		 */
		RESPONDING

	}

	HttpConnection(Channel channel, ConnectionLimits limits, RequestMemory memory, HttpServerHandler handler) {
		this.channel = channel;
		this.limits = limits;
		this.memory = memory;
		this.handler = handler;
	}

	Decoder decoder() {
		return this.decoder;
	}

	Channel channel() {
		return this.channel;
	}

	long heldBytes() {
		return this.held;
	}

	boolean unfinished() {
		return this.state == State.READING;
	}

	/**
	 * Returns whether the connection may be closed in favour of a new one: it has no
	 * request that was passed to the handler, and no response that its caller still
	 * reads.
	 * @param now the time of the system's monotonic clock, in nanoseconds
	 * @return true if it may
	 */
	boolean replaceable(long now) {
		return this.state == State.READING
				|| (this.state == State.RESPONDING && now - this.stateNanos > SLOW_READER_NANOS);
	}

	/**
	 * Returns since when the connection has been in its state.
	 * @return a time of the system's monotonic clock, in nanoseconds
	 */
	long stateNanos() {
		return this.stateNanos;
	}

	/**
	 * Returns whether the connection makes no progress and may be closed.
	 * @param now the time of the system's monotonic clock, in nanoseconds
	 * @param idleNanos the limit between two requests
	 * @param stalledNanos the limit within a request or a response
	 * @return true if a limit is exceeded
	 */
	boolean expired(long now, long idleNanos, long stalledNanos) {
		boolean idle = this.state == State.READING && this.held == 0 && this.head == null;
		return this.state != State.HANDLING && now - this.progressNanos > (idle ? idleNanos : stalledNanos);
	}

	/**
	 * Refuses the unfinished request, which has not run, and closes the connection.
	 */
	void giveWay() {
		hold(0);
		if (this.head != null) {
			refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
		}
		else {
			this.channel.close();
		}
	}

	private void enter(State next) {
		this.state = next;
		this.stateNanos = System.nanoTime();
		this.progressNanos = this.stateNanos;
	}

	private void hold(long bytes) {
		long change = bytes - this.held;
		this.held = bytes;
		this.memory.change(change);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.memory.add(this);
		context.read();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.memory.remove(this);
		this.body = new ByteArrayOutputStream(0);
		this.state = State.RESPONDING;
		this.requestEnded.run();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
		try {
			if (this.state == State.RESPONDING || !this.channel.isActive()) {
				return;
			}
			if (message instanceof HttpRequest request) {
				start(request);
			}
			if (message instanceof HttpContent content && this.state != State.RESPONDING) {
				add(content.content());
				if (message instanceof LastHttpContent && this.state != State.RESPONDING) {
					finish();
				}
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void start(HttpRequest request) {
		this.head = request;
		this.requestEnded = this.handler.requestStarted(this.channel);
		if (request.decoderResult().isFailure()) {
			Throwable cause = request.decoderResult().cause();
			if (cause instanceof TooLongHttpHeaderException) {
				refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
			}
			else {
				refuse((cause instanceof TooLongHttpLineException) ? HttpResponseStatus.REQUEST_URI_TOO_LONG
						: HttpResponseStatus.BAD_REQUEST);
			}
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void add(ByteBuf content) throws IOException {
		this.bodyBytes += content.readableBytes();
		if (this.bodyBytes <= this.limits.maximumBodyBytes()) {
			content.readBytes(this.body, content.readableBytes());
		}
		else {
			this.body = new ByteArrayOutputStream(0);
			if (this.bodyBytes > (long) this.limits.maximumBodyBytes() * DISCARD_FACTOR) {
				refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			}
		}
	}

	private void finish() {
		HttpRequest request = this.head;
		if (request == null) {
			return;
		}
		if (this.bodyBytes > this.limits.maximumBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		enter(State.HANDLING);
		AtomicBoolean answered = new AtomicBoolean();
		boolean keepAlive = HttpUtil.isKeepAlive(request);
		boolean withBody = !request.method().equals(HttpMethod.HEAD);
		this.handler.handle(new HttpServerRequest(this.channel, request.method().name(), request.uri(),
				request.headers(), this.body.toByteArray()), (response) -> {
					if (answered.compareAndSet(false, true)) {
						this.channel.eventLoop().execute(() -> respond(response, keepAlive, withBody));
					}
				});
	}

	private void refuse(HttpResponseStatus status) {
		respond(HttpServerResponse.json(status.code(), "{}", Map.of("Connection", "close")), false, true);
	}

	private void respond(HttpServerResponse response, boolean keepAlive, boolean withBody) {
		enter(State.RESPONDING);
		this.body = new ByteArrayOutputStream(0);
		this.head = null;
		FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(response.status()),
				withBody ? Unpooled.wrappedBuffer(response.body()) : Unpooled.EMPTY_BUFFER,
				DefaultHttpHeadersFactory.headersFactory(), DefaultHttpHeadersFactory.trailersFactory());
		message.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
			.setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
		response.headers().forEach(message.headers()::set);
		boolean close = !keepAlive || !HttpUtil.isKeepAlive(message);
		if (close) {
			message.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		Runnable ended = this.requestEnded;
		this.channel.writeAndFlush(message).addListener((ChannelFutureListener) (future) -> {
			ended.run();
			if (close || !future.isSuccess()) {
				this.channel.close();
			}
			else {
				// Not called directly, since the decoder may be on the stack.
				this.channel.eventLoop().execute(this::readNext);
			}
		});
	}

	private void readNext() {
		if (!this.channel.isActive()) {
			return;
		}
		this.bodyBytes = 0;
		this.headBytes = 0;
		this.decoder.complete = false;
		enter(State.READING);
		hold(0);
		this.decoder.resume();
		if (this.state == State.READING && !this.decoder.complete) {
			this.channel.read();
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.state == State.READING && !this.decoder.complete) {
			context.read();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// Resets by callers and undecodable input end the connection, nothing else.
		context.close();
	}

	/**
	 * Decoder that stops after each request.
	 */
	final class Decoder extends HttpRequestDecoder {

		private @Nullable ChannelHandlerContext context;

		private boolean complete;

		private Decoder() {
			super(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
				.setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
				.setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
				.setHeadersFactory(HEADERS)
				.setTrailersFactory(HEADERS));
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) throws Exception {
			super.handlerAdded(added);
			this.context = added;
		}

		@Override
		protected void decode(ChannelHandlerContext current, ByteBuf input, List<Object> output) throws Exception {
			if (this.complete || HttpConnection.this.state != State.READING) {
				return;
			}
			int before = input.readableBytes();
			super.decode(current, input, output);
			boolean headComplete = HttpConnection.this.head != null || !output.isEmpty();
			HttpConnection.this.headBytes += headComplete ? 0 : before - input.readableBytes();
			HttpConnection.this.progressNanos = System.nanoTime();
			if (HttpConnection.this.headBytes > MAXIMUM_HEAD_BYTES) {
				current.close();
				return;
			}
			if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
				this.complete = true;
			}
			hold(HttpConnection.this.headBytes + input.readableBytes() + BODY_FACTOR
					* Math.min(HttpConnection.this.bodyBytes, HttpConnection.this.limits.maximumBodyBytes()));
		}

		private void resume() {
			ChannelHandlerContext current = this.context;
			if (current != null && !current.isRemoved()) {
				try {
					channelRead(current, Unpooled.EMPTY_BUFFER);
				}
				catch (Exception ex) {
					exceptionCaught(current, ex);
				}
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext current, Throwable cause) {
			current.close();
		}

	}

}
