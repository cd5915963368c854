package org.crocuspost.standin.endpoint;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.crocuspost.http.HeaderNames;

/**
 * Handles the requests of one connection to an endpoint stand-in.
 */
final class EndpointHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private final EndpointStandIn endpoint;

	EndpointHandler(EndpointStandIn endpoint) {
		this.endpoint = endpoint;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		if (this.endpoint.isUnresponsive(context.channel())) {
			return;
		}
		EndpointFault fault = this.endpoint.fault();
		if (fault == EndpointFault.RESET_BEFORE) {
			reset(context);
			return;
		}
		ExecutedRequest entry = entry(request);
		this.endpoint.begin(entry);
		if (fault == EndpointFault.ERROR) {
			this.endpoint.finishAfterServiceTime(() -> context.writeAndFlush(
					response(HttpResponseStatus.INTERNAL_SERVER_ERROR, entry.requestId(), "the endpoint failed")));
			return;
		}
		this.endpoint.finishAfterServiceTime(() -> context.executor().execute(() -> answer(context, fault, entry)));
	}

	private static ExecutedRequest entry(FullHttpRequest request) {
		String id = request.headers().get(HeaderNames.REQUEST_ID, "");
		return new ExecutedRequest(id, request.method().name(), request.uri(),
				request.content().toString(StandardCharsets.UTF_8));
	}

	private void answer(ChannelHandlerContext context, EndpointFault fault, ExecutedRequest entry) {
		FullHttpResponse response = response(HttpResponseStatus.OK, entry.requestId(), entry.body());
		switch (fault) {
			case TRUNCATED -> truncate(context, response);
			case RESET_DURING -> reset(context);
			case RESET_AFTER -> context.writeAndFlush(response).addListener((write) -> reset(context));
			case SILENT -> response.release();
			case CROSSED -> context.writeAndFlush(response(HttpResponseStatus.OK, "another-request", "another answer"));
			default -> context.writeAndFlush(response);
		}
	}

	private static FullHttpResponse response(HttpResponseStatus status, String requestId, String body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain;charset=utf-8");
		response.headers().set(HeaderNames.REQUEST_ID, requestId);
		return response;
	}

	private static void truncate(ChannelHandlerContext context, FullHttpResponse response) {
		int length = response.content().readableBytes();
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length + 1);
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private static void reset(ChannelHandlerContext context) {
		context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		context.close();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

}
