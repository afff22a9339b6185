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

/** The first messages of a connection: each side names itself and shows that it has a shared key. */
internal class Handshake(private val keys: KeyRing, private val timeoutMilliseconds: Long) {
    /**
     * Performs the handshake. The connection's writer has to be running.
     *
     * @param hello makes this side's first message from a challenge
     * @return the other side's first message
     */
    suspend fun perform(
        connection: InnerConnection,
        hello: (challenge: String) -> Hello,
    ): Either<ConnectionError, Hello> =
        withTimeoutOrNull(timeoutMilliseconds) { exchange(connection, hello(keys.challenge())) }
            ?: ConnectionError.Closed(STEP, connection.peer, "No handshake within $timeoutMilliseconds ms.").left()

    private suspend fun exchange(connection: InnerConnection, own: Hello): Either<ConnectionError, Hello> {
        connection.send(own)
        return connection.receive(STEP)
            .flatMap { message -> asHello(connection, message) }
            .flatMap { hello ->
                connection.send(Proof(keys.sign(hello.challenge, own.incarnation)))
                connection.receive(STEP).flatMap { proof -> verify(connection, own, hello, proof) }
            }
    }

    private fun asHello(connection: InnerConnection, message: Message): Either<ConnectionError, Hello> = when {
        message !is Hello -> rejected(connection, "The first message is no hello.")
        message.protocolVersion != PROTOCOL_VERSION ->
            rejected(connection, "Protocol version ${message.protocolVersion} is not $PROTOCOL_VERSION.")
        else -> message.right()
    }

    private fun verify(
        connection: InnerConnection,
        own: Hello,
        hello: Hello,
        proof: Message,
    ): Either<ConnectionError, Hello> = when {
        proof !is Proof -> rejected(connection, "The second message is no proof.")
        !keys.accepts(proof.signature, own.challenge, hello.incarnation) ->
            rejected(connection, "The proof was made with an unknown key.")
        else -> hello.right()
    }

    private fun rejected(connection: InnerConnection, detail: String): Either<ConnectionError, Nothing> =
        ConnectionError.Rejected(STEP, connection.peer, detail).left()

    private companion object {
        const val STEP = "handshake"
    }
}
