package org.heatherhaven.cli.run;

import java.net.InetSocketAddress;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;

/** Converts a host and a port, such as 127.0.0.1:9700, to a socket address. */
public final class AddressConverter implements IStringConverter<InetSocketAddress> {

    @Override
    public InetSocketAddress convert(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new ParameterException("not an address such as 127.0.0.1:9700: " + text);
        }
    }
}
