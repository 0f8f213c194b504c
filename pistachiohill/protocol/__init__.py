"""Protocol between the processes of a deployment: messages, codec and connections."""
