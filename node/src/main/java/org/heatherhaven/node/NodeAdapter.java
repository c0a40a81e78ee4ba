package org.heatherhaven.node;

import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.settings.TomlTable;

/** Lets a node run among systems that speak otherwise than the product does; found by the service loader. */
public interface NodeAdapter {

    /**
     * Name by which it is chosen.
     *
     * @return lower-case name
     */
    String name();

    /**
     * Reads the adapter's own part of the settings.
     *
     * @param settings the whole file
     * @return makes the integration of the node
     */
    Integration.Factory readFactory(TomlTable settings);

    /**
     * Takes into the node's settings what its surroundings ask of it.
     *
     * @param settings the whole file
     * @param own the node's settings as the file has them
     * @return the settings that hold
     */
    default NodeSettings adapt(TomlTable settings, NodeSettings own) {
        return own;
    }
}
