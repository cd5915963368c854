package org.crocuspost.distribution;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.peer.Peer;
import org.crocuspost.wire.ConfigurationConfirmation;
import org.crocuspost.wire.ConfigurationUpdate;
import org.crocuspost.wire.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Holds the state of one agent in its entry: the endpoint of the agent, the part of the
 * configuration that was sent to it and the version that it has confirmed. Not
 * thread-safe.
 */
final class AgentConnection {

	private final Peer peer;

	private final AgentEndpoint endpoint;

	private long confirmedVersion;

	private long sentVersion;

	private @Nullable AgentConfigurationPart sentPart;

	/**
	 * Creates the connection.
	 * @param peer the connection to the agent
	 * @param first the first confirmation of the agent
	 */
	AgentConnection(Peer peer, ConfigurationConfirmation first) {
		this.peer = peer;
		this.endpoint = new AgentEndpoint(first.getService(), first.getEndpointId());
		this.confirmedVersion = first.getVersion();
	}

	Peer peer() {
		return this.peer;
	}

	long confirmedVersion() {
		return this.confirmedVersion;
	}

	/**
	 * Records a confirmation. After a version older than the last one sent, the next
	 * update contains the whole part.
	 * @param version the confirmed version
	 */
	void recordConfirmation(long version) {
		this.confirmedVersion = Math.max(this.confirmedVersion, version);
		if (version < this.sentVersion) {
			this.sentPart = null;
		}
	}

	/**
	 * Returns whether the agent acts on an older version than the last one sent.
	 * @return true if the agent could not apply the last update or has not confirmed it
	 * yet
	 */
	boolean behind() {
		return this.confirmedVersion < this.sentVersion;
	}

	/**
	 * Sends the agent's part of the configuration, or only the version if the part is
	 * unchanged since the version that the agent confirmed.
	 * @param configuration the configuration
	 * @param renewal whether the update renews the permission to start tasks, because the
	 * entry has read recently that the version is the newest
	 */
	void send(Configuration configuration, boolean renewal) {
		ConfigurationUpdate.Builder update = (this.confirmedVersion == configuration.version())
				? ConfigurationUpdate.newBuilder().setSameAsVersion(this.confirmedVersion) : update(configuration);
		update.setVersion(configuration.version()).setRenewal(renewal);
		this.peer.send(Frame.newBuilder().setConfigurationUpdate(update).build());
	}

	private ConfigurationUpdate.Builder update(Configuration configuration) {
		AgentConfigurationPart part = AgentConfigurationPart.of(configuration, this.peer.identity().failureDomain(),
				this.endpoint);
		boolean same = part.equals(this.sentPart) && this.confirmedVersion == this.sentVersion;
		this.sentVersion = configuration.version();
		this.sentPart = part;
		return same ? ConfigurationUpdate.newBuilder().setSameAsVersion(this.confirmedVersion)
				: part.toUpdate(this.endpoint).setNoteId(configuration.noteId());
	}

}
