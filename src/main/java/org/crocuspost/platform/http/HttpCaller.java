package org.crocuspost.platform.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.crocuspost.net.Sockets;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * HTTP client that runs on the event loop of the process and reuses idle connections. A
 * call that times out closes its connection, so that a late response is never taken for
 * the response to another call. It also closes the idle connections to the same address:
 * all open connections may have become unresponsive although new ones work, and trying
 * them one by one would cost a timeout each. Must be used on the event loop only.
 */
public final class HttpCaller {

	private static final int MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

	/**
	 * Timeout for opening a connection, in milliseconds. Hosts of a region are
	 * milliseconds apart, so a longer wait means that the remote host is unreachable.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final EventLoop loop;

	private final int maximumIdleConnections;

	private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

	/**
	 * Creates a client.
	 * @param loop the event loop of the process
	 * @param maximumIdleConnections the maximum number of idle connections that are kept
	 * for each address
	 */
	public HttpCaller(EventLoop loop, int maximumIdleConnections) {
		this.loop = loop;
		this.maximumIdleConnections = maximumIdleConnections;
	}

	/**
	 * Makes a call.
	 * @param target the address of the server
	 * @param request the request
	 * @param timeout the maximum duration of the call, including the time to connect
	 * @param answer receives the outcome of the call, on the event loop
	 */
	public void call(InetSocketAddress target, Request request, Duration timeout, Consumer<HttpOutcome> answer) {
		Call call = new Call(target, request, answer);
		call.timeout = this.loop.schedule(call::timedOut, timeout.toNanos(), TimeUnit.NANOSECONDS);
		Channel channel = takeIdle(target);
		if (channel != null) {
			call.send(channel);
		}
		else {
			open(call);
		}
	}

	private @Nullable Channel takeIdle(InetSocketAddress target) {
		Deque<Channel> channels = this.idle.get(target);
		while (channels != null && !channels.isEmpty()) {
			Channel channel = channels.removeLast();
			if (channel.isActive()) {
				return channel;
			}
		}
		return null;
	}

	private void open(Call call) {
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(Sockets.clientChannel())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new Pipeline());
		bootstrap.connect(call.target).addListener((ChannelFuture future) -> {
			if (!future.isSuccess()) {
				call.end(new HttpOutcome.NeverSent(String.valueOf(future.cause().getMessage())), false);
			}
			else if (call.ended) {
				future.channel().close();
			}
			else {
				call.send(future.channel());
			}
		});
	}

	private void closeIdle(InetSocketAddress target) {
		Deque<Channel> channels = this.idle.remove(target);
		if (channels != null) {
			channels.forEach(Channel::close);
		}
	}

	private void keepOrClose(InetSocketAddress target, Channel channel) {
		Deque<Channel> channels = this.idle.computeIfAbsent(target, (address) -> new ArrayDeque<>());
		if (channel.isActive() && channels.size() < this.maximumIdleConnections) {
			channels.addLast(channel);
		}
		else {
			channel.close();
		}
	}

	/**
	 * An HTTP request.
	 *
	 * @param method the HTTP method
	 * @param path the path with its query string
	 * @param headers the additional headers
	 * @param body the body, JSON; empty for none
	 */
	public record Request(String method, String path, Map<String, String> headers, byte[] body) {

		public Request {
			headers = Map.copyOf(headers);
		}

	}

	private static final class Pipeline extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new HttpObjectAggregator(MAXIMUM_ANSWER_BYTES))
				.addLast(new AnswerHandler());
		}

	}

	private static final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		private @Nullable Call current;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Call call = this.current;
			this.current = null;
			if (call == null) {
				context.close();
				return;
			}
			byte[] body = ByteBufUtil.getBytes(response.content());
			call.end(new HttpOutcome.Answered(response.status().code(), body), HttpUtil.isKeepAlive(response));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			Call call = this.current;
			this.current = null;
			if (call != null) {
				call.end(new HttpOutcome.Unanswered("the connection was closed"), false);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			Call call = this.current;
			this.current = null;
			if (call != null) {
				call.end(new HttpOutcome.Unanswered(String.valueOf(cause.getMessage())), false);
			}
			context.close();
		}

	}

	private final class Call {

		private final InetSocketAddress target;

		private final Request request;

		private final Consumer<HttpOutcome> answer;

		private @Nullable Channel channel;

		private @Nullable ScheduledFuture<?> timeout;

		private boolean ended;

		private Call(InetSocketAddress target, Request request, Consumer<HttpOutcome> answer) {
			this.target = target;
			this.request = request;
			this.answer = answer;
		}

		private void send(Channel opened) {
			this.channel = opened;
			opened.pipeline().get(AnswerHandler.class).current = this;
			DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
					HttpMethod.valueOf(this.request.method()), this.request.path(),
					Unpooled.wrappedBuffer(this.request.body()));
			message.headers()
				.set(HttpHeaderNames.HOST, this.target.getAddress().getHostAddress() + ":" + this.target.getPort())
				.set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length);
			if (this.request.body().length > 0) {
				message.headers().set(HttpHeaderNames.CONTENT_TYPE, JsonBodies.CONTENT_TYPE);
			}
			this.request.headers().forEach(message.headers()::set);
			opened.writeAndFlush(message);
		}

		private void timedOut() {
			boolean sent = this.channel != null;
			if (sent) {
				// The cause of the timeout may affect the connections opened earlier too.
				closeIdle(this.target);
			}
			end(sent ? new HttpOutcome.Unanswered("no answer in time")
					: new HttpOutcome.NeverSent("no connection in time"), false);
		}

		private void end(HttpOutcome outcome, boolean reusable) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			if (this.channel != null && reusable) {
				keepOrClose(this.target, this.channel);
			}
			else if (this.channel != null) {
				AnswerHandler handler = this.channel.pipeline().get(AnswerHandler.class);
				if (handler != null) {
					handler.current = null;
				}
				this.channel.close();
			}
			try {
				this.answer.accept(outcome);
			}
			catch (RuntimeException | StackOverflowError ex) {
				// The answer to one call must not affect the connection or other calls.
				Logger.error(ex, "the answer to {} {} caused an unexpected error", this.request.method(),
						this.request.path());
			}
		}

	}

}
