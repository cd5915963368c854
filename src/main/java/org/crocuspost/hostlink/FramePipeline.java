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

	/**
	 * Maximum size of a frame from a peer that has not been identified. A hello holds a
	 * number and a name.
	 */
	private static final int MAXIMUM_HELLO_BYTES = 4 * 1024;

	private static final String DECODER = "frames";

	private FramePipeline() {
	}

	static void initialize(Channel channel, MessageLite received, ChannelHandler handler) {
		initialize(channel, received, handler, MAXIMUM_FRAME_BYTES);
	}

	/**
	 * Configures the channel of a connection that must begin with a short message.
	 * @param channel the channel
	 * @param received the type of the received messages
	 * @param handler receives the messages
	 */
	static void initializeForHello(Channel channel, MessageLite received, ChannelHandler handler) {
		initialize(channel, received, handler, MAXIMUM_HELLO_BYTES);
	}

	/**
	 * Accepts frames of any allowed size from now on.
	 * @param channel the channel
	 */
	static void acceptLongFrames(Channel channel) {
		channel.pipeline().replace(DECODER, DECODER, frameDecoder(MAXIMUM_FRAME_BYTES));
	}

	private static LengthFieldBasedFrameDecoder frameDecoder(int maximumBytes) {
		return new LengthFieldBasedFrameDecoder(maximumBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	private static void initialize(Channel channel, MessageLite received, ChannelHandler handler, int maximumBytes) {
		channel.config().setOption(ChannelOption.TCP_NODELAY, true);
		channel.pipeline()
			.addLast(DECODER, frameDecoder(maximumBytes))
			.addLast(new ProtobufDecoder(received))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(handler);
	}

}
