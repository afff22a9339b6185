package org.guavahatch.daemon.transport

/**
 * Why a connection between processes ended.
 *
 * @property step what was going on
 * @property peer address of the other side
 * @property detail what went wrong, as a sentence
 */
internal sealed interface ConnectionError {
    val step: String
    val peer: String
    val detail: String

    /** The other side closed the connection, or the network did. */
    data class Closed(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError

    /** The other side sent something that is no message. */
    data class Malformed(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError

    /** The other side could not show that it may connect. */
    data class Rejected(override val step: String, override val peer: String, override val detail: String) :
        ConnectionError
}
