package org.guavahatch.daemon.transport

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.guavahatch.protocol.message.Hello
import org.guavahatch.protocol.message.Message
import org.guavahatch.protocol.message.PROTOCOL_VERSION
import org.guavahatch.protocol.message.Proof

/** The handshake of a connection: both processes identify themselves and prove that they have a shared key. */
internal class Handshake(private val keys: KeyRing, private val timeoutMilliseconds: Long) {
    /**
     * Performs the handshake. [PeerConnection.writeQueued] must be running.
     *
     * @param hello creates this process's first message from a challenge
     * @return the first message of the peer
     */
    suspend fun perform(
        connection: PeerConnection,
        hello: (challenge: String) -> Hello,
    ): Either<ConnectionError, Hello> =
        withTimeoutOrNull(timeoutMilliseconds) { exchangeMessages(connection, hello(keys.newChallenge())) }
            ?: ConnectionError.Closed(
                STEP,
                connection.peer,
                "The handshake did not finish within $timeoutMilliseconds ms.",
            ).left()

    private suspend fun exchangeMessages(connection: PeerConnection, own: Hello): Either<ConnectionError, Hello> {
        connection.send(own)
        return connection.receive(STEP)
            .flatMap { message -> requireHello(connection, message) }
            .flatMap { hello ->
                connection.send(Proof(keys.sign(hello.challenge, own.incarnation)))
                connection.receive(STEP).flatMap { proof -> verifyProof(connection, own, hello, proof) }
            }
    }

    private fun requireHello(connection: PeerConnection, message: Message): Either<ConnectionError, Hello> = when {
        message !is Hello -> rejected(connection, "The first message is not a Hello message.")
        message.protocolVersion != PROTOCOL_VERSION ->
            rejected(connection, "Unsupported protocol version ${message.protocolVersion}, expected $PROTOCOL_VERSION.")
        else -> message.right()
    }

    private fun verifyProof(
        connection: PeerConnection,
        own: Hello,
        hello: Hello,
        proof: Message,
    ): Either<ConnectionError, Hello> = when {
        proof !is Proof -> rejected(connection, "The second message is not a Proof message.")
        !keys.verifies(proof.signature, own.challenge, hello.incarnation) ->
            rejected(connection, "The proof was made with an unknown key.")
        else -> hello.right()
    }

    private fun rejected(connection: PeerConnection, detail: String): Either<ConnectionError, Nothing> =
        ConnectionError.Rejected(STEP, connection.peer, detail).left()

    private companion object {
        const val STEP = "handshake"
    }
}
