// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import java.util.function.Consumer;
import ottergauge.protocol.Headers;

/** Collects a message's body up to the largest that the protocol allows. */
final class BodyReader {

    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    private BodyReader() {
    }

    /** Reads a stream to its end; {@code whenTooLarge} runs at once, and then nothing else does. */
    static void read(ReadStream<Buffer> stream, Consumer<byte[]> whenRead, Runnable whenTooLarge) {
        BodyReader reader = new BodyReader();
        stream.handler(part -> reader.take(part, whenTooLarge));
        stream.endHandler(end -> {
            if (!reader.tooLarge) {
                whenRead.accept(reader.body.getBytes());
            }
        });
    }

    private void take(Buffer part, Runnable whenTooLarge) {
        if (tooLarge) {
            return;
        }
        if (body.length() + part.length() > Headers.MOST_BODY) {
            tooLarge = true;
            whenTooLarge.run();
        } else {
            body.appendBuffer(part);
        }
    }
}
