package org.guavahatch.daemon.transport

/**
 * Reason why a connection between processes ended. The class names in lower case are values of a metric label.
 *
 * @property step operation that was in progress
 * @property peer address of the peer
 * @property detail description of the error
 */
internal sealed interface ConnectionError {
    val step: String
    val peer: String
    val detail: String

    /** The connection was closed or lost, or the peer did not respond in time. */
    data class Closed(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError

    /** The peer sent data that is not a valid message. */
    data class Malformed(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError

    /** The peer failed the handshake: unexpected message, unsupported protocol version or unknown key. */
    data class Rejected(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError
}
