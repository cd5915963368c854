package org.crocuspost.distribution;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.peer.Peer;
import org.crocuspost.wire.ConfigurationConfirmation;
import org.crocuspost.wire.ConfigurationUpdate;
import org.crocuspost.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * What an entry knows of one agent: what it serves, the part of the configuration that it
 * was sent and the version that it has confirmed. Not safe for use by several threads.
 */
final class AgentConnection {

	private final Peer peer;

	private final AgentEndpoint endpoint;

	private long confirmed;

	private long sent;

	private @Nullable AgentPart sentPart;

	/**
	 * Creates the connection.
	 * @param peer the connection to the agent
	 * @param first the first confirmation of the agent
	 */
	AgentConnection(Peer peer, ConfigurationConfirmation first) {
		this.peer = peer;
		this.endpoint = new AgentEndpoint(first.getService(), first.getEndpointId());
		this.confirmed = first.getVersion();
	}

	Peer peer() {
		return this.peer;
	}

	long confirmed() {
		return this.confirmed;
	}

	/**
	 * Takes in a confirmation.
	 * @param version the confirmed version
	 */
	void confirmed(long version) {
		this.confirmed = Math.max(this.confirmed, version);
		if (version < this.sent) {
			this.sentPart = null;
		}
	}

	/**
	 * Says whether the agent acts on an older version than was sent.
	 * @return true if the agent could not use what was sent or has not confirmed it yet
	 */
	boolean behind() {
		return this.confirmed < this.sent;
	}

	/**
	 * Sends the agent's part, or only the version if the part is the same as at the
	 * version that the agent confirmed.
	 * @param configuration the configuration
	 * @param renewal whether the entry vouches that the version is the newest
	 */
	void send(Configuration configuration, boolean renewal) {
		ConfigurationUpdate.Builder update = (this.confirmed == configuration.version())
				? ConfigurationUpdate.newBuilder().setSameAsVersion(this.confirmed) : update(configuration);
		update.setVersion(configuration.version()).setRenewal(renewal);
		this.peer.send(Frame.newBuilder().setConfigurationUpdate(update).build());
	}

	private ConfigurationUpdate.Builder update(Configuration configuration) {
		AgentPart part = AgentPart.of(configuration, this.peer.identity().failureDomain(), this.endpoint);
		boolean same = part.equals(this.sentPart) && this.confirmed == this.sent;
		this.sent = configuration.version();
		this.sentPart = part;
		return same ? ConfigurationUpdate.newBuilder().setSameAsVersion(this.confirmed)
				: part.toUpdate(this.endpoint).setNoteId(configuration.noteId());
	}

}
