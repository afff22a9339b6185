package org.guavahatch.protocol.message

import kotlinx.serialization.Serializable
import org.guavahatch.model.identity.RequestId

/** What entry instances and sidecars say to each other. Every connection carries messages in both directions. */
@Serializable
public sealed interface Message

/** A message about one request. */
@Serializable
public sealed interface RequestMessage : Message {
    /** The request that the message is about. */
    public val requestId: RequestId
}

/** Version of the messages in this package. Processes of different versions do not talk to each other. */
public const val PROTOCOL_VERSION: Int = 1
