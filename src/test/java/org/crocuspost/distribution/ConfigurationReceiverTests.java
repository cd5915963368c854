package org.crocuspost.distribution;

import java.time.Instant;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.crocuspost.peer.Peer;
import org.crocuspost.peer.PeerListener;
import org.crocuspost.time.VirtualTime;
import org.crocuspost.wire.ConfigurationUpdate;
import org.crocuspost.wire.Frame;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationReceiverTests {

	private final ConfigurationReceiver receiver = new ConfigurationReceiver(AgentEndpoint.NONE,
			new VirtualTime(Instant.EPOCH));

	private final PeerPair pair = new PeerPair("agent-1", "zone-a", this.receiver, "entry-1", new SilentListener());

	@Property(seed = "11", tries = 1_000)
	void malformedUpdateNeverThrowsAndIsNotAdopted(
			@ForAll @Size(min = 1, max = 2) List<@StringLength(max = 30) String> texts) {
		ConfigurationReceiver fresh = new ConfigurationReceiver(AgentEndpoint.NONE, new VirtualTime(Instant.EPOCH));
		PeerPair fuzzed = new PeerPair("agent-1", "zone-a", fresh, "entry-1", new SilentListener());
		fuzzed.sendToAgent(update(texts));
		fuzzed.deliverAll();
		assertThat(fresh.current()).isEqualTo(AgentConfiguration.NONE);
		assertThat(fresh.allowsTaskStarts()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "{}", "[]", "1", "{\"name\": null}" })
	void updateWithoutAServiceIsNotAdopted(String text) {
		this.pair.sendToAgent(update(List.of(text)));
		this.pair.deliverAll();
		assertThat(this.receiver.current()).isEqualTo(AgentConfiguration.NONE);
	}

	@Test
	void memberOfANewerVersionIsIgnored() {
		this.pair.sendToAgent(update(List.of("""
				{"name": "shop", "match": {"host": "*", "pathPrefix": "/"}, "priority": 1, "timeout": "PT1S",
				"objective": {"latency": "PT1S", "latencyQuantile": 0.9, "availability": 0.9},
				"idempotentMethods": [], "addedLater": true}""")));
		this.pair.deliverAll();
		assertThat(this.receiver.current().version()).isEqualTo(1);
		assertThat(this.receiver.current().services()).hasSize(1);
	}

	private static Frame update(List<String> services) {
		return Frame.newBuilder()
			.setConfigurationUpdate(
					ConfigurationUpdate.newBuilder().setVersion(1).setRenewal(true).addAllServices(services))
			.build();
	}

	private static final class SilentListener implements PeerListener {

		@Override
		public void connected(Peer peer) {
		}

		@Override
		public void received(Peer peer, Frame frame) {
		}

		@Override
		public void disconnected(Peer peer) {
		}

	}

}
