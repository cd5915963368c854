package org.crocuspost.hostlink;

import com.google.protobuf.MessageLite;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * Configures the channel of a connection, on which each Protobuf message is preceded by
 * its length in four bytes.
 */
final class FramePipeline {

	private static final int LENGTH_BYTES = 4;

	private static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

	private FramePipeline() {
	}

	static void initialize(Channel channel, MessageLite received, ChannelHandler handler) {
		channel.config().setOption(ChannelOption.TCP_NODELAY, true);
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
			.addLast(new ProtobufDecoder(received))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(handler);
	}

}
