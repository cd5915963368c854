package org.crocuspost.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import org.crocuspost.error.ErrorCode;
import org.crocuspost.error.Failure;
import org.crocuspost.time.ExecutorTimer;
import org.crocuspost.time.Timer;
import org.crocuspost.wire.FateQuery;
import org.crocuspost.wire.FateReply;
import org.crocuspost.wire.Frame;
import org.crocuspost.wire.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerConnectionTests {

	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(15);

	private static final DeploymentSecret SECRET = new DeploymentSecret("right");

	private final EventLoopGroup group = new NioEventLoopGroup(2);

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

	private final Timer timer = new ExecutorTimer(this.executor);

	private final RecordingListener serverListener = new RecordingListener();

	private final RecordingListener clientListener = new RecordingListener();

	@AfterEach
	void stop() {
		this.executor.shutdownNow();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private PeerServer server(int port) {
		return PeerServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), this.group,
				settings(PeerIdentity.Role.ENTRY, "entry-1", SECRET), this.serverListener, this.timer);
	}

	private PeerLink client(PeerServer server, DeploymentSecret secret) {
		return new PeerConnector(this.group, settings(PeerIdentity.Role.AGENT, "agent-1", secret), this.clientListener,
				this.timer)
			.connect(server.address());
	}

	private static PeerSettings settings(PeerIdentity.Role role, String name, DeploymentSecret secret) {
		PeerIdentity self = new PeerIdentity(role, name, name + "-1", "bkk-a");
		PeerSettings defaults = PeerSettings.of(self, secret);
		return new PeerSettings(self, secret, defaults.pingInterval(), defaults.maximumMissedPings(),
				Duration.ofMillis(500), defaults.maximumFrameBytes(), defaults.outboundLimitBytes());
	}

	@Test
	void bothEndsReceiveTheIdentityOfTheOther() throws Exception {
		PeerServer server = server(0);
		PeerLink link = client(server, SECRET);
		assertThat(this.serverListener.awaitConnection().identity().name()).isEqualTo("agent-1");
		assertThat(this.clientListener.awaitConnection().identity().role()).isEqualTo(PeerIdentity.Role.ENTRY);
		link.close();
		server.close();
	}

	@Test
	void peerWithAnotherSecretIsNeverConnected() throws Exception {
		PeerServer server = server(0);
		PeerLink rejected = client(server, new DeploymentSecret("wrong"));
		RecordingListener knownListener = new RecordingListener();
		PeerLink link = new PeerConnector(this.group, settings(PeerIdentity.Role.AGENT, "agent-2", SECRET),
				knownListener, this.timer)
			.connect(server.address());
		knownListener.awaitConnection();
		assertThat(this.serverListener.awaitConnection().identity().name()).isEqualTo("agent-2");
		assertThat(this.serverListener.connections).isEmpty();
		assertThat(this.clientListener.connections).isEmpty();
		rejected.close();
		link.close();
		server.close();
	}

	@Test
	void reflectedProofIsRejected() throws Exception {
		PeerServer server = server(0);
		try (Socket socket = open(server)) {
			Hello hello = readFrame(socket).getHello();
			writeFrame(socket, Frame.newBuilder().setHello(hello).build());
			Frame proof = readFrame(socket);
			assertThat(proof.hasHelloReply()).isTrue();
			writeFrame(socket, proof);
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(this.serverListener.connections).isEmpty();
		server.close();
	}

	@Test
	void connectionWithoutProofIsClosedAfterTheHandshakeTimeout() throws Exception {
		PeerServer server = server(0);
		try (Socket socket = open(server)) {
			readFrame(socket);
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		server.close();
	}

	@Test
	void frameLargerThanTheLimitClosesTheConnection() throws Exception {
		PeerServer server = server(0);
		try (Socket socket = open(server)) {
			readFrame(socket);
			new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
		server.close();
	}

	@Test
	void callCompletesOnAnswerTimeoutOrLossOfTheConnection() throws Exception {
		PeerServer server = server(0);
		PeerLink link = client(server, SECRET);
		Peer peer = this.clientListener.awaitConnection();
		Peer otherEnd = this.serverListener.awaitConnection();
		Frame call = Frame.newBuilder().setFateQuery(FateQuery.newBuilder().setRequestId("r")).build();
		var answered = peer.call(call, TEST_TIMEOUT).toCompletableFuture();
		var unanswered = peer.call(call, Duration.ofMillis(100)).toCompletableFuture();
		var interrupted = peer.call(call, TEST_TIMEOUT).toCompletableFuture();
		Frame received = this.serverListener.awaitFrame();
		otherEnd.send(Frame.newBuilder()
			.setCorrelation(received.getCorrelation())
			.setAnswer(true)
			.setFateReply(FateReply.newBuilder().setFate(FateReply.Fate.FATE_FINISHED))
			.build());
		assertThat(get(answered).get().getFateReply().getFate()).isEqualTo(FateReply.Fate.FATE_FINISHED);
		assertThat(get(unanswered).getLeft().code()).isEqualTo(ErrorCode.DEADLINE_AFTER_START);
		this.serverListener.awaitFrame();
		this.serverListener.awaitFrame();
		link.close();
		assertThat(get(interrupted).getLeft().code()).isEqualTo(ErrorCode.CONNECTION_LOST);
		assertThat(get(peer.call(call, TEST_TIMEOUT).toCompletableFuture()).getLeft().code())
			.isEqualTo(ErrorCode.NO_ENDPOINT);
		server.close();
	}

	@Test
	void linkReconnectsAfterTheServerRestarts() throws Exception {
		PeerServer first = server(0);
		int port = first.address().getPort();
		PeerLink link = client(first, SECRET);
		this.clientListener.awaitConnection();
		first.close();
		PeerServer second = server(port);
		assertThat(this.clientListener.awaitConnection().open()).isTrue();
		link.close();
		second.close();
	}

	private static Either<Failure, Frame> get(java.util.concurrent.CompletableFuture<Either<Failure, Frame>> result)
			throws Exception {
		return result.get(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

	private static Socket open(PeerServer server) throws IOException {
		Socket socket = new Socket(server.address().getAddress(), server.address().getPort());
		socket.setSoTimeout((int) TEST_TIMEOUT.toMillis());
		return socket;
	}

	private static Frame readFrame(Socket socket) throws IOException {
		DataInputStream input = new DataInputStream(socket.getInputStream());
		return Frame.parseFrom(input.readNBytes(input.readInt()));
	}

	private static void writeFrame(Socket socket, Frame frame) throws IOException {
		DataOutputStream output = new DataOutputStream(socket.getOutputStream());
		output.writeInt(frame.getSerializedSize());
		frame.writeTo(output);
		output.flush();
	}

	private static final class RecordingListener implements PeerListener {

		private final BlockingQueue<Peer> connections = new LinkedBlockingQueue<>();

		private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

		private Peer awaitConnection() throws InterruptedException {
			Peer peer = this.connections.poll(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
			assertThat(peer).isNotNull();
			return peer;
		}

		private Frame awaitFrame() throws InterruptedException {
			Frame frame = this.frames.poll(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
			assertThat(frame).isNotNull();
			return frame;
		}

		@Override
		public void connected(Peer peer) {
			this.connections.add(peer);
		}

		@Override
		public void received(Peer peer, Frame frame) {
			this.frames.add(frame);
		}

		@Override
		public void disconnected(Peer peer) {
			// The tests observe the end of a connection through the results of its calls.
		}

	}

}
