package org.crocuspost.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.Frame;

/**
 * Sets up the handlers of a connection. Each frame is preceded by its length in four
 * bytes.
 */
@ChannelHandler.Sharable
final class PeerPipeline extends ChannelInitializer<Channel> {

	private static final int LENGTH_BYTES = 4;

	private final PeerSettings settings;

	private final PeerListener listener;

	private final Timer timer;

	private final ConnectionSide side;

	PeerPipeline(PeerSettings settings, PeerListener listener, Timer timer, ConnectionSide side) {
		this.settings = settings;
		this.listener = listener;
		this.timer = timer;
		this.side = side;
	}

	@Override
	protected void initChannel(Channel channel) {
		int limit = this.settings.outboundLimitBytes();
		channel.config().setOption(ChannelOption.TCP_NODELAY, true);
		channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(limit / 2, limit));
		ChannelPipeline pipeline = channel.pipeline();
		pipeline.addLast(
				new LengthFieldBasedFrameDecoder(this.settings.maximumFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
		pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
		pipeline.addLast(new ProtobufEncoder());
		pipeline.addLast(new PeerChannelHandler(this.settings, this.listener, this.timer, this.side));
	}

}
